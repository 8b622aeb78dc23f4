//! Copies of usage records, with the real meters of a fleet.

use std::time::Duration;

use jujubebeam_core::authority::Holder;
use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::usage::{
    Counts, MeterCommand, MeterEvent, UsageConfig, UsageMessage, UsageMeter, UsagePeer,
};
use jujubebeam_core::{Incarnation, Machine, VmId, WorkspaceId};
use rand::Rng;

use super::Size;
use super::exchange::Allowance;
use super::row::Row;
use super::world::{World, encoded_bytes, resident_bytes};

/// Whether the receiver's answer to a copy travels in the same exchange.
const KEPT_IN_ANSWER: bool = true;
const MEASURED: Duration = Duration::from_secs(10);

struct Fleet {
    world: World<MeterEvent>,
    meters: Vec<UsageMeter>,
    unix: Duration,
}

/// Measures copies at the size's rate of requests.
pub(crate) fn measure(size: Size, allowance: Allowance) -> Row {
    let before = resident_bytes();
    let zone = |vm: usize| format!("zone-{}", vm % size.zones);
    let peers: Vec<_> = (0..size.vms)
        .map(|vm| UsagePeer {
            vm: VmId(vm as u32),
            zone: zone(vm),
        })
        .collect();
    let meters = (0..size.vms).map(|vm| {
        let holder = Holder {
            vm: VmId(vm as u32),
            incarnation: Incarnation(1_790_000_000_000_000),
        };
        UsageMeter::new(holder, zone(vm), UsageConfig::default())
    });
    let mut fleet = Fleet {
        meters: meters.collect(),
        world: World::new(size.vms, allowance),
        unix: Duration::from_secs(1_790_000_000),
    };
    for vm in 0..size.vms {
        fleet.feed(vm, MeterEvent::Peers(peers.clone()));
    }
    fleet.run(size);
    let mut row = Row::new(
        "usage copies",
        size.vms,
        &fleet.world.vms,
        MEASURED.as_secs_f64(),
    );
    row.scale = format!("{} requests/s, state of 10 s", size.requests_s);
    row.state_bytes = resident_bytes().saturating_sub(before) / size.vms as u64;
    row
}

impl Fleet {
    fn run(&mut self, size: Size) {
        let mut due = 0.0;
        while self.world.now < MEASURED {
            for (vm, event) in self.world.advance() {
                self.feed(vm, event);
            }
            due += size.requests_s as f64 * 0.02;
            while due >= 1.0 {
                due -= 1.0;
                self.record(size);
            }
            for vm in 0..size.vms {
                if self.world.ticks(vm) {
                    let unix = self.unix + self.world.now;
                    self.feed(vm, MeterEvent::Tick { unix });
                }
            }
        }
    }

    fn record(&mut self, size: Size) {
        let vm = self.world.rng.random_range(0..size.vms);
        let workspace = self.world.rng.random_range(0..size.workspaces) as u64;
        let record = MeterEvent::Record {
            ticket: 1,
            workspace: WorkspaceId(workspace.wrapping_mul(0xd134_2543_de82_ef95)),
            counts: Counts {
                requests: 1,
                prompt_tokens: 1500,
                output_tokens: 236,
            },
        };
        self.feed(vm, record);
    }

    fn feed(&mut self, vm: usize, event: MeterEvent) {
        let mut out = Vec::new();
        let now = self.world.now;
        let meter = &mut self.meters[vm];
        self.world.busy(vm, || meter.step(event, now, &mut out));
        for command in out {
            match command {
                MeterCommand::Send(to, message) => self.send(vm, to.0 as usize, message),
                MeterCommand::WakeAfter(_) => {
                    let unix = self.unix + now;
                    self.world.later(20, vm, MeterEvent::Tick { unix });
                }
                MeterCommand::Acknowledged(_) => {}
            }
        }
    }

    fn send(&mut self, vm: usize, to: usize, message: UsageMessage) {
        let bytes = encoded_bytes(&PeerMessage::Usage(message.clone()));
        if KEPT_IN_ANSWER && matches!(message, UsageMessage::Kept { .. }) {
            self.world.count_answer(vm, to, bytes);
        } else {
            self.world.count_exchange(vm, to, bytes);
        }
        let from = VmId(vm as u32);
        self.world.later(10, to, MeterEvent::Message(from, message));
    }
}

/// How long the meter's lock is held.
pub(crate) struct Held {
    /// Mean time of one record, with the copies that it causes.
    pub(crate) record: Duration,
    /// Time of answering the collection of one window.
    pub(crate) collect: Duration,
}

/// Feeds one meter with 10,000 records a second for one window, and collects the window.
pub(crate) fn lock_times() -> Held {
    const RECORDS_PER_S: u64 = 10_000;
    const SECONDS: u64 = 60;
    let own = VmId(0);
    let holder = Holder {
        vm: own,
        incarnation: Incarnation(1),
    };
    let mut meter = UsageMeter::new(holder, "zone-0".into(), UsageConfig::default());
    let mut out = Vec::new();
    let peers = (0..3).map(|vm| UsagePeer {
        vm: VmId(vm),
        zone: format!("zone-{vm}"),
    });
    meter.step(MeterEvent::Peers(peers.collect()), Duration::ZERO, &mut out);
    let mut busy = Duration::ZERO;
    let records = RECORDS_PER_S * SECONDS;
    let mut kept = Vec::new();
    for number in 0..records {
        let now = Duration::from_micros(number * 1_000_000 / RECORDS_PER_S);
        let record = MeterEvent::Record {
            ticket: number,
            workspace: WorkspaceId(number.wrapping_mul(7919) % 10_000),
            counts: Counts::default(),
        };
        let start = std::time::Instant::now();
        meter.step(record, now, &mut out);
        for (to, message) in kept.drain(..) {
            meter.step(MeterEvent::Message(to, message), now, &mut out);
        }
        busy += start.elapsed();
        for command in out.drain(..) {
            if let MeterCommand::Send(to, UsageMessage::Copy { from, records, .. }) = command {
                let end = from + records.len() as u64;
                kept.push((to, UsageMessage::Kept { holder, end }));
            }
        }
    }
    let collect = UsageMessage::Collect {
        window: u64::MAX,
        included: Vec::new(),
    };
    let start = std::time::Instant::now();
    let now = Duration::from_secs(SECONDS);
    meter.step(MeterEvent::Message(VmId(1), collect), now, &mut out);
    Held {
        record: busy / records as u32,
        collect: start.elapsed(),
    }
}
