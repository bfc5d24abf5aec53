//! Sends what waits as soon as an upstream has room.

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::Scheduler;
use crate::events::{Effect, RequestNumber};
use crate::fair::Waiting;
use crate::pending::Stage;
use crate::routing::{Router, Wish};
use crate::slot::{Attempt, Room};

/// What became of a request whose turn it was.
enum Turn {
    /// It left the queue.
    Done,
    /// No upstream has room for it.
    NoRoom,
}

/// Where a suspect may run.
enum Place {
    /// On this upstream, now.
    Now(usize),
    /// On one that is held for it and still runs other work.
    Held,
    /// Nowhere yet.
    None,
}

impl Scheduler {
    /// Serves the requests of every service.
    pub(super) fn pump_all(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for pool in 0..self.pools.list.len() {
            self.pump_anew(now, pool, effects);
        }
    }

    /// Serves the requests of a service after a change that may have made room.
    pub(super) fn pump_anew(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        self.pools.list[pool].full = None;
        self.pump(now, pool, effects);
    }

    /// Serves the requests of a service after the end of an attempt on the upstream at `freed`.
    pub(super) fn pump_freed(
        &mut self,
        now: Millis,
        pool: usize,
        freed: usize,
        effects: &mut Vec<Effect>,
    ) {
        self.pools.list[pool].freed = Some(freed);
        self.pump(now, pool, effects);
        let slot = &self.fleet.slots[freed];
        let weight = self.fleet.weight(slot);
        let list = &mut self.pools.list[pool];
        list.freed = None;
        if slot.room(Room::Plain, weight) {
            list.full = None;
        } else if slot.room(Room::Urgent, weight) {
            list.full = list.full.map(|full| full.min(Room::Plain));
        }
    }

    /// Serves the requests of a service until no upstream has room.
    pub(super) fn pump(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        if !self.pools.list[pool].waits() || self.pools.list[pool].absent.is_some() {
            return;
        }
        self.pump_apart(now, pool, effects);
        let run = self.settings.queue.urgent_streak;
        loop {
            let order = self.pools.list[pool].classes.order(run);
            if !self.round(now, pool, order, effects) {
                return;
            }
        }
    }

    /// Serves the first request of the class whose turn it is or else of the next one, and returns
    /// whether one could be served.
    fn round(
        &mut self,
        now: Millis,
        pool: usize,
        order: [Option<usize>; 2],
        effects: &mut Vec<Effect>,
    ) -> bool {
        let [first, second] = order;
        // Were urgent requests to go over the limit out of turn, no others would ever find room.
        let in_turn = first.is_some_and(|class| self.pools.list[pool].classes.is_urgent(class));
        let over = if in_turn { Room::Urgent } else { Room::Plain };
        [first, second].into_iter().flatten().any(|class| {
            let classes = &mut self.pools.list[pool].classes;
            let urgent = classes.is_urgent(class);
            let heads = classes.class(class).queue.heads();
            let room = if urgent { over } else { Room::Plain };
            heads.into_iter().flatten().any(|first| {
                let turn = self.turn(now, class, first, room, effects);
                matches!(turn, Turn::Done)
            })
        })
    }

    /// Serves one of the first requests of a class.
    fn turn(
        &mut self,
        now: Millis,
        class: usize,
        first: Waiting,
        room: Room,
        effects: &mut Vec<Effect>,
    ) -> Turn {
        let Some(one) = self.pending.get(&first.ticket) else {
            return Turn::NoRoom;
        };
        let pool = one.pool;
        let expected = self.pools.list[pool].times.expected(first.cost);
        if one.too_late(now, expected) {
            self.expire(now, first.ticket, effects);
            return Turn::Done;
        }
        if self.suspects.suspected(&one.arrival.digest) {
            self.move_apart(first.ticket);
            self.pump_apart(now, pool, effects);
            return Turn::Done;
        }
        let wish = Wish {
            room,
            tried: &one.tried,
            key: one.arrival.idempotency_key.as_ref(),
            prefix: one.arrival.prefix.as_ref(),
        };
        let list = &self.pools.list[pool];
        let router = Router {
            now,
            fleet: &self.fleet,
            pool: list,
            settings: &self.settings.routing,
        };
        let found = if wish.key.is_none() && list.lacks(room) {
            list.freed.filter(|at| router.fits(*at, &wish))
        } else {
            router.pick(&wish, &mut self.rng)
        };
        let Some(at) = found else {
            if one.tried.is_empty() {
                let list = &mut self.pools.list[pool];
                list.full = list.full.max(Some(room));
            }
            return Turn::NoRoom;
        };
        let classes = &mut self.pools.list[pool].classes;
        classes.served(class, first.cost);
        classes.class(class).queue.pop(first.ticket);
        self.send(now, first.ticket, at, effects);
        Turn::Done
    }

    fn move_apart(&mut self, ticket: RequestNumber) {
        self.leave_queue(ticket);
        if let Some(one) = self.pending.remove(&ticket) {
            self.enqueue(one);
        }
    }

    /// Gives up a request that waits and whose deadline can no longer be met.
    pub(super) fn expire(&mut self, now: Millis, ticket: RequestNumber, effects: &mut Vec<Effect>) {
        let Some(one) = self.pending.get(&ticket) else {
            return;
        };
        let (pool, class) = (one.pool, one.class);
        let kind = match one.cause {
            Some(cause) if one.arrival.deadline > now => cause,
            _ => ErrorKind::TooLate,
        };
        self.leave_queue(ticket);
        let retry_after = self.come_back(pool, class);
        self.give_up(ticket, kind, retry_after, effects);
    }

    /// Sends suspects, each to an upstream of its own that runs nothing else where that can be had.
    fn pump_apart(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        let waiting: Vec<RequestNumber> = self.pools.list[pool].apart.iter().copied().collect();
        for ticket in waiting {
            match self.place_apart(now, pool, ticket) {
                Place::Now(at) => {
                    self.pools.list[pool].apart.retain(|one| *one != ticket);
                    self.release(ticket);
                    self.pools.list[pool].full = None;
                    self.fleet.slots[at].held = Some(ticket);
                    self.send(now, ticket, at, effects);
                }
                Place::Held => {}
                Place::None => return,
            }
        }
    }

    /// Finds the upstream for a suspect, or holds one until it runs nothing else.
    fn place_apart(&mut self, now: Millis, pool: usize, ticket: RequestNumber) -> Place {
        let Some(one) = self.pending.get(&ticket) else {
            return Place::None;
        };
        let router = Router {
            now,
            fleet: &self.fleet,
            pool: &self.pools.list[pool],
            settings: &self.settings.routing,
        };
        let (fit, held) = router.fit_and_held();
        let mine = self.pools.list[pool]
            .members()
            .find(|at| self.fleet.slots[*at].held == Some(ticket));
        if mine.is_none() && held >= fit.div_ceil(2) {
            return Place::None;
        }
        let idle = |at: &usize| self.fleet.slots[*at].attempts.is_empty();
        let found = mine.filter(idle).or_else(|| router.pick_apart(&one.tried));
        // The last upstream is not kept from the others: the suspect goes beside them.
        if let Some(at) = found.filter(|at| idle(at) || fit <= 1) {
            return Place::Now(at);
        }
        match (mine, found) {
            (Some(_), _) => Place::Held,
            (None, Some(at)) => {
                self.fleet.slots[at].held = Some(ticket);
                Place::Held
            }
            (None, None) => Place::None,
        }
    }

    /// Sends a request.
    fn send(&mut self, now: Millis, ticket: RequestNumber, at: usize, effects: &mut Vec<Effect>) {
        let Some(one) = self.pending.get_mut(&ticket) else {
            return;
        };
        let slot = &mut self.fleet.slots[at];
        let pool = &mut self.pools.list[one.pool];
        if one.tried.is_empty() {
            pool.budget.sent();
        }
        if let Some(prefix) = one.arrival.prefix {
            let max = self.settings.routing.prefixes_max;
            pool.affinity.held(prefix, slot.id(), max);
        }
        one.stage = Stage::Sent;
        one.tried.push(slot.id());
        slot.sent(Attempt {
            ticket,
            digest: one.arrival.digest,
            sent: now,
            began: None,
            cost: one.arrival.cost,
            struck: false,
            withdrawn: false,
        });
        effects.push(Effect::Send {
            request: ticket,
            upstream: slot.id(),
            retry_cause: one.cause,
        });
    }
}
