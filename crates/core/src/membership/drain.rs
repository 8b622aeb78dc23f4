//! Drain of this vm before it exits.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Command, Membership, Message, VmState};
use crate::VmId;
use crate::invariant::{self, Invariant};

/// Progress of the drain.
#[derive(Clone, Debug)]
pub(super) struct Drain {
    /// Time at which address answers that contain this vm have expired.
    until: Duration,
    linger: bool,
    confirmed_by: BTreeSet<VmId>,
    next_farewell: Duration,
    handing_over: bool,
}

impl Membership {
    /// Whether this vm is leaving.
    pub fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    pub(super) fn leave(&mut self, linger: bool, now: Duration, out: &mut Vec<Command>) {
        if let Some(drain) = &mut self.drain {
            drain.linger &= linger;
            return;
        }
        self.own.state = VmState::Leaving;
        self.own.heartbeat += 1;
        self.updates
            .insert(self.own.vm, (self.config.repeats, true));
        let drain_time = self.config.address_lifetime + self.config.linger;
        self.drain = Some(Drain {
            until: if self.config.omit_linger {
                now
            } else {
                now + drain_time
            },
            linger,
            confirmed_by: BTreeSet::new(),
            next_farewell: now,
            handing_over: false,
        });
        self.send_farewells(now, out);
    }

    /// Sends a farewell to every peer that has not confirmed one yet.
    fn send_farewells(&mut self, now: Duration, out: &mut Vec<Command>) {
        let peers: Vec<_> = self.others.keys().copied().collect();
        let Some(drain) = &mut self.drain else {
            return;
        };
        if now < drain.next_farewell {
            return;
        }
        drain.next_farewell = now + self.config.farewell_interval;
        for to in peers
            .into_iter()
            .filter(|vm| !drain.confirmed_by.contains(vm))
        {
            let message = Message::Farewell(self.own.clone());
            out.push(Command::Send { to, message });
        }
    }

    pub(super) fn on_farewell_confirmed(&mut self, from: VmId) {
        if let Some(drain) = &mut self.drain {
            drain.confirmed_by.insert(from);
        }
    }

    pub(super) fn tick_drain(&mut self, now: Duration, out: &mut Vec<Command>) {
        self.send_farewells(now, out);
        let Some(drain) = &mut self.drain else {
            return;
        };
        let lingers = drain.linger && now < drain.until;
        if self.running > 0 || lingers || drain.handing_over {
            return;
        }
        drain.handing_over = true;
        out.push(Command::HandOver);
    }

    pub(super) fn on_handed_over(&mut self, out: &mut Vec<Command>) {
        let Some(drain) = &mut self.drain else {
            return;
        };
        // A caller with an old address answer may have sent a request during the hand-over.
        if self.running > 0 {
            drain.handing_over = false;
            return;
        }
        invariant::check(
            Invariant::GracefulShutdownCutsNothing,
            drain.handing_over && self.running == 0,
            || format!("the vm exits with {} requests", self.running),
        );
        out.push(Command::Exit);
    }
}
