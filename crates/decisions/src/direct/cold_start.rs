//! Cold upstreams: until when each is cold.
//!
//! This answers an upstream that has started while requests arrive, and crashes under the usual number of them for a while.

use sardinepin_common::Millis;

use crate::direct::balancer::Balancer;
use crate::direct::upstream_spec::UpstreamSpec;

impl Balancer {
    /// Records that the entry of an upstream names another end of its cold state.
    pub fn record_cold(&mut self, now: Millis, spec: &UpstreamSpec) {
        self.upstreams_mut().record_cold(now, spec);
    }
}
