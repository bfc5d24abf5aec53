//! Proofs of the request path on real processes, under failure.

mod at_most_once;
mod leaving;
mod not_run;
mod one_map;
mod shutdown;
mod util;
mod whole_answer;
