//! Sleeps that return at once when the duration is zero.

use sardinepin_common::Millis;

/// Sleeps for `time`; a duration of zero skips the timer, which would wait for its next tick.
pub(crate) async fn pause(time: Millis) {
    if time > Millis::ZERO {
        tokio::time::sleep(time.duration()).await;
    }
}
