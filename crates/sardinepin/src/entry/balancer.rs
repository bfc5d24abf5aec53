//! The task that owns the balancer. It makes all routing decisions of an entry, one event at a
//! time.

use sardinepin_common::{Clock, Map, Millis};
use sardinepin_decisions::{
    Arrival, Balancer, Effect, Event, RequestNumber, Settings as BalancerSettings, UpstreamId,
};
use sardinepin_protocol::{Digest, ErrorKind};
use tokio::sync::mpsc;

use crate::link::Identity;
use crate::options::Settings;
use crate::telemetry::count_retry;

/// A command of the balancer about one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestCommand {
    /// Send the request to an upstream.
    Send(UpstreamId),
    /// Withdraw the current attempt from its stalled upstream.
    Withdraw,
    /// Send the caller an error response; no further command follows.
    GiveUp {
        /// The reason.
        kind: ErrorKind,
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
}

/// An input of the balancer task.
#[derive(Debug)]
enum BalancerInput {
    /// A request arrived; its commands go to the sender.
    Arrived(Arrival, mpsc::UnboundedSender<RequestCommand>),
    /// Any other event.
    Event(Event),
}

/// A handle that sends inputs to the balancer task.
#[derive(Debug, Clone)]
pub(crate) struct BalancerHandle {
    inputs: mpsc::UnboundedSender<BalancerInput>,
}

impl BalancerHandle {
    /// Starts the balancer task.
    ///
    /// The receiver yields each digest that the balancer puts in quarantine, with its remaining
    /// time.
    pub(crate) fn start(
        settings: &Settings,
        identity: &Identity,
        clock: Clock,
    ) -> (Self, mpsc::UnboundedReceiver<(Digest, Millis)>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let balancer = Balancer::new(BalancerSettings {
            policy: settings.entry.policy.parse().unwrap_or_default(),
            zone: settings.zone.clone(),
            seed: identity.incarnation.0,
            attempts_max: settings.entry.attempts_max,
            ..BalancerSettings::default()
        });
        let tick = Millis(BalancerSettings::default().tick_ms);
        let (quarantine_sender, quarantined) = mpsc::unbounded_channel();
        let task = BalancerTask {
            quarantine_sender,
            balancer,
            clock,
            commands: Map::default(),
            effects: Vec::new(),
        };
        tokio::spawn(task.run(receiver, tick));
        (Self { inputs }, quarantined)
    }

    /// Passes a new request to the balancer, which sends its commands about it to `commands`.
    pub(crate) fn submit(&self, arrival: Arrival, commands: mpsc::UnboundedSender<RequestCommand>) {
        let _ = self.inputs.send(BalancerInput::Arrived(arrival, commands));
    }

    /// Passes an event to the balancer.
    pub(crate) fn notify(&self, event: Event) {
        let _ = self.inputs.send(BalancerInput::Event(event));
    }
}

#[derive(Debug)]
struct BalancerTask {
    quarantine_sender: mpsc::UnboundedSender<(Digest, Millis)>,
    balancer: Balancer,
    clock: Clock,
    commands: Map<RequestNumber, mpsc::UnboundedSender<RequestCommand>>,
    effects: Vec<Effect>,
}

impl BalancerTask {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<BalancerInput>, tick: Millis) {
        let mut ticks = tokio::time::interval(tick.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => self.handle_event(Event::Tick),
            }
        }
    }

    fn handle_input(&mut self, input: BalancerInput) {
        match input {
            BalancerInput::Arrived(arrival, commands) => {
                self.commands.insert(arrival.request, commands);
                self.handle_event(Event::Arrived(arrival));
            }
            BalancerInput::Event(event) => {
                let completed = completed_request(&event);
                self.handle_event(event);
                if let Some(number) = completed {
                    self.commands.remove(&number);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        self.balancer.handle(self.clock.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
    }

    fn send_command(&self, number: RequestNumber, command: RequestCommand) {
        if let Some(commands) = self.commands.get(&number) {
            let _ = commands.send(command);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send {
                request: number,
                upstream,
                retry_cause,
            } => {
                if let Some(kind) = retry_cause {
                    count_retry(kind);
                }
                self.send_command(number, RequestCommand::Send(upstream));
            }
            Effect::Withdraw {
                request: number, ..
            } => self.send_command(number, RequestCommand::Withdraw),
            Effect::GiveUp {
                request: number,
                kind,
                retry_after,
            } => {
                if let Some(commands) = self.commands.remove(&number) {
                    let _ = commands.send(RequestCommand::GiveUp { kind, retry_after });
                }
            }
            Effect::Quarantine { digest, remaining } => {
                let _ = self.quarantine_sender.send((digest, remaining));
            }
        }
    }
}

/// Returns the request that needs no more commands after this event.
fn completed_request(event: &Event) -> Option<RequestNumber> {
    match event {
        Event::HungUp(number) => Some(*number),
        Event::Ended {
            request: number,
            end: sardinepin_decisions::AttemptEnd::Complete,
            ..
        } => Some(*number),
        _ => None,
    }
}
