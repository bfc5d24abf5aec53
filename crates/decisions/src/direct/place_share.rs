//! The share of a rank group's free places that one gateway may use before the next sample of the group's load.
//!
//! This answers a group that is nearly full and many gateways. All of them see the same few free places in the same sample. Without
//! shares each would use all of them, requests would queue at the ranks, and the queues would hold late work long after the load has
//! fallen. A place that becomes free because a request of this gateway ends may be used again at once.

use sardinepin_common::Millis;

/// The age after which a sample does not limit any more.
const SAMPLE_RETENTION: Millis = Millis(700);

/// The number of gateways from which on places are shared. Fewer ones know much of the load themselves, and their shares of a small
/// group would often round down to nothing.
const GATEWAYS_MIN: f64 = 12.0;

/// The step of the rounding offset, the fractional part of the golden ratio: the offsets of successive samples are spread evenly.
const OFFSET_STEP: f64 = 0.618_033_988_75;

/// The places of a group when its load was sampled.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GroupPlaces {
    /// The places of all ranks that take requests.
    pub(super) places: f64,
    /// The requests at these ranks, running or queued.
    pub(super) load: f64,
    /// The requests of this gateway at the group.
    pub(super) own: f64,
    /// The number of gateways that use the group.
    pub(super) gateways: f64,
}

impl GroupPlaces {
    /// Returns how many requests this gateway may have at the group: those that it had, and its share of the free places. If there are
    /// more requests than places, all gateways reduce theirs by the same factor.
    fn allowance(self) -> f64 {
        if self.load > self.places {
            return self.own * self.places / self.load;
        }
        self.own + (self.places - self.load) / self.gateways
    }
}

/// How many requests this gateway may have at one group.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PlaceShare {
    /// The time of the last sample and the requests that it allows; `None` if places are not shared.
    allowance: Option<(Millis, u32)>,
    /// Added before rounding down, so that gateways with a share below one get a place in some samples.
    offset: f64,
}

impl PlaceShare {
    /// Returns the share of a gateway; `position`, from 0 to 1, differs between gateways, so that they do not all round up together.
    pub(super) fn new(position: f64) -> Self {
        Self {
            allowance: None,
            offset: position.fract(),
        }
    }

    /// Records a sample of the group's load.
    pub(super) fn record_sample(&mut self, now: Millis, places: GroupPlaces) {
        if places.gateways < GATEWAYS_MIN {
            self.allowance = None;
            return;
        }
        self.offset = (self.offset + OFFSET_STEP).fract();
        let allowed = (places.allowance() + self.offset).floor();
        self.allowance = Some((now, allowed as u32));
    }

    /// Returns whether one more request may be sent to the group, which has `in_flight` requests of this gateway.
    pub(super) fn has_place(&self, now: Millis, in_flight: u32) -> bool {
        let fresh = self
            .allowance
            .filter(|(at, _)| now.since(*at) < SAMPLE_RETENTION);
        fresh.is_none_or(|(_, allowed)| in_flight < allowed)
    }
}
