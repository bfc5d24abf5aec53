//! Tests of waiting for an address.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use sardinepin_common::{Clock, Millis};
use sardinepin_runtime::bind_when_free;

/// Binds with a function that fails `failures` times with `kind`; returns the outcome and how long it took.
async fn bind_after(failures: usize, kind: ErrorKind) -> (io::Result<usize>, Millis) {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let calls = Cell::new(0);
    let clock = Clock::start();
    let bound = bind_when_free(address, || {
        calls.set(calls.get() + 1);
        let result = match calls.get() > failures {
            true => Ok(calls.get()),
            false => Err(io::Error::from(kind)),
        };
        std::future::ready(result)
    });
    (bound.await, clock.now())
}

/// Guards against a start that gives up while an address is only not free yet, or its interface not up.
#[tokio::test(start_paused = true)]
async fn address_is_tried_again_until_it_is_free() {
    for kind in [ErrorKind::AddrInUse, ErrorKind::AddrNotAvailable] {
        let (bound, took) = bind_after(30, kind).await;
        assert_eq!(bound.unwrap(), 31, "{kind}");
        assert!(took <= Millis(3_100), "{kind}: {took}");
    }
}

/// Guards against a start that waits for ever, or for what time does not change.
#[tokio::test(start_paused = true)]
async fn address_that_does_not_become_free_is_an_error() {
    let (bound, took) = bind_after(usize::MAX, ErrorKind::AddrInUse).await;
    assert_eq!(bound.unwrap_err().kind(), ErrorKind::AddrInUse);
    assert!((Millis(60_000)..Millis(60_200)).contains(&took), "{took}");
    let (bound, took) = bind_after(usize::MAX, ErrorKind::PermissionDenied).await;
    assert_eq!(bound.unwrap_err().kind(), ErrorKind::PermissionDenied);
    assert_eq!(took, Millis::ZERO);
}
