//! Delays that cost nothing when there are none.

use sardinepin_common::Millis;

/// Waits for `time`; a timer would make even an empty wait last until its next tick.
pub(crate) async fn pause(time: Millis) {
    if time > Millis::ZERO {
        tokio::time::sleep(time.duration()).await;
    }
}
