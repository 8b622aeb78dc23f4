//! Gossip of membership.

use std::time::Duration;

use jujubebeam_core::membership::{
    Command, Event, Membership, MembershipConfig, Message, Record, VmState,
};
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::{Incarnation, Machine, VmId};

use super::exchange::Allowance;
use super::row::Row;
use super::world::{World, encoded_bytes, resident_bytes};

const WARM_UP: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(20);

struct Fleet {
    world: World<Event>,
    members: Vec<Membership>,
}

/// Measures a fleet that does not change, with the vm list read once a second.
pub(crate) fn measure(vms: usize, zones: usize, allowance: Allowance) -> Row {
    let before = resident_bytes();
    let list: Vec<_> = (0..vms).map(|vm| record(vm, zones)).collect();
    let members = list.iter().map(|own| {
        Membership::new(MembershipConfig {
            seed: u64::from(own.vm.0),
            ..MembershipConfig::new(own.clone())
        })
    });
    let mut fleet = Fleet {
        members: members.collect(),
        world: World::new(vms, allowance),
    };
    fleet.run_for(WARM_UP, &list);
    fleet.world.reset();
    fleet.run_for(MEASURED, &list);
    let mut row = Row::new("membership", vms, &fleet.world.vms, MEASURED.as_secs_f64());
    row.state_bytes = resident_bytes().saturating_sub(before) / vms as u64;
    row
}

fn record(vm: usize, zones: usize) -> Record {
    Record {
        vm: VmId(vm as u32),
        zone: format!("zone-{}", vm % zones),
        caller_address: format!("10.120.{}.{}:8080", vm / 250, vm % 250),
        peer_address: format!("10.120.{}.{}:8081", vm / 250, vm % 250),
        incarnation: Incarnation(1_790_000_000_000_000 + vm as u64),
        state: VmState::Live,
        heartbeat: 0,
        capacity_millicores: 1_000,
    }
}

impl Fleet {
    fn run_for(&mut self, time: Duration, list: &[Record]) {
        let end = self.world.now + time;
        while self.world.now < end {
            for (vm, event) in self.world.advance() {
                self.feed(vm, event);
            }
            let step = (self.world.now.as_millis() / 20) as usize;
            for vm in 0..self.members.len() {
                if step % 50 == vm % 50 {
                    self.feed(vm, Event::Listed(list.to_vec()));
                }
                if self.world.ticks(vm) {
                    self.feed(vm, Event::Tick);
                }
            }
        }
    }

    fn feed(&mut self, vm: usize, event: Event) {
        let asked = match &event {
            Event::Peer { from, .. } => Some(*from),
            _ => None,
        };
        let mut out = Vec::new();
        let now = self.world.now;
        let member = &mut self.members[vm];
        self.world.busy(vm, || member.step(event, now, &mut out));
        for command in out {
            let Command::Send { to, message } = command else {
                continue;
            };
            self.send(vm, asked, to, message);
        }
    }

    fn send(&mut self, vm: usize, asked: Option<VmId>, to: VmId, message: Message) {
        let bytes = encoded_bytes(&PeerMessage::Membership(message.clone()));
        let receiver = to.0 as usize;
        if asked == Some(to) {
            self.world.count_answer(vm, receiver, bytes);
        } else {
            self.world.count_exchange(vm, receiver, bytes);
            let exchanged = Event::Exchanged {
                with: to,
                answered: true,
            };
            self.world.later(10, vm, exchanged);
        }
        let from = VmId(vm as u32);
        self.world
            .later(10, receiver, Event::Peer { from, message });
    }
}
