//! Control tasks: membership, registration in the store, and clean-up.

use std::net::SocketAddr;
use std::time::Duration;

use jujubebeam_core::Machine;
use jujubebeam_core::membership::{Event, Record, VmState};
use jujubebeam_core::quarantine::QuarantineEvent;
use jujubebeam_core::store::{Expected, LeaseId, StoreOp, StoreReply};
use ntex::time::sleep;
use serde::{Deserialize, Serialize};

use crate::adapters::{Adapters, StoreApi};
use crate::crash_evidence;
use crate::duties;
use crate::host_address::is_host_address;
use crate::link_tests;
use crate::owner;
use crate::peers;
use crate::quota;
use crate::replication::{self, ReplicaKind, Source};
use crate::server::Context;
use crate::state::{vm_id_of, wall_clock};
use crate::stored_crashes;
use crate::stored_streams;

/// Interval between ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reads of the list of vms in the store.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Lease TTL of this vm's entry in the list of vms.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);

/// Prefix of the keys of the vms' entries.
const VMS_PREFIX: &str = "vms/";

/// Longest zone of a vm, which other vms receive with its record.
const MAX_ZONE_BYTES: usize = 200;

/// Largest capacity of a vm. A larger one by mistake would make all other vms too small to
/// coordinate work.
const MAX_MILLICORES: u32 = 1_000_000;

/// Entry of a vm in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmEntry {
    zone: String,
    #[serde(default)]
    capacity_millicores: u32,
    caller_address: String,
    peer_address: String,
    /// Whether the vm records the software versions that it uses. Earlier versions do not.
    #[serde(default)]
    records_versions: bool,
}

/// Starts all control tasks on the calling thread.
pub(crate) fn start<A: Adapters>(context: &Context<A>) {
    let seeds = context.shared.config.seeds.iter().map(|address| Record {
        vm: vm_id_of(*address),
        peer_address: address.to_string(),
        ..Record::default()
    });
    peers::feed_membership(context, Event::Listed(seeds.collect()));
    spawn(context, |context| async move {
        replication::replicate(&context, ReplicaKind::Settings).await;
    });
    spawn(context, |context| async move {
        replication::replicate(&context, ReplicaKind::Targets).await;
    });
    spawn(context, |context| async move {
        replication::poll_peers(&context).await;
    });
    for kind in [ReplicaKind::Settings, ReplicaKind::Targets] {
        spawn(context, move |context| async move {
            replication::refresh(&context, kind).await;
        });
    }
    spawn(context, |context| async move {
        maintain_vm_list(&context).await
    });
    spawn(context, |context| async move { tick(&context).await });
    spawn(context, |context| async move {
        stored_crashes::maintain(&context).await;
    });
    spawn(context, |context| async move {
        stored_streams::maintain_versions(&context.shared, &*context.store).await;
    });
    spawn(context, |context| async move {
        stored_streams::maintain_streams(&context.shared, &*context.store).await;
    });
    spawn(context, |context| async move {
        link_tests::run(&context.shared).await;
    });
    spawn(context, |context| async move {
        crash_evidence::run(&context).await;
    });
    spawn(context, |context| async move {
        owner::send_ends(&context).await;
    });
    spawn(
        context,
        |context| async move { duties::run(&context).await },
    );
    spawn(context, |context| async move {
        quota::send_returns(&context.shared, &context).await;
    });
}

fn spawn<A: Adapters, F: Future<Output = ()> + 'static>(
    context: &Context<A>,
    task: impl FnOnce(Context<A>) -> F,
) {
    ntex::rt::spawn(task(context.clone()));
}

async fn tick<A: Adapters>(context: &Context<A>) {
    let shared = &context.shared;
    loop {
        let now = shared.now();
        shared.usage().true_time.record_own_clock(wall_clock(), now);
        let running = shared.running.load(std::sync::atomic::Ordering::SeqCst);
        peers::feed_membership(context, Event::Running(running));
        peers::feed_membership(context, Event::Tick);
        shared
            .quarantine()
            .step(QuarantineEvent::Tick, now, &mut Vec::new());
        shared.part_crashes().expire(now);
        let (vms, all) = shared.count_vms();
        let hold = shared.hold_time(now);
        {
            let mut fleet = shared.fleet();
            let fleet = &mut *fleet;
            // Another vm may have covered what seemed an interruption of the store.
            fleet.catalog.limit_holds(now + hold);
            let removed = fleet.catalog.remove_expired(now);
            replication::record_changes(shared, removed, Source::Expiry);
            shared.observe_versions(&fleet.catalog, now);
            fleet.placer.evict_removed(&fleet.catalog, now);
            fleet.owner.evict_expired(&fleet.catalog, now);
            fleet.rate_limits.evict_removed(&fleet.catalog, now);
            fleet.permits.evict_removed(&fleet.catalog);
            fleet.apply_limits();
            fleet.placer.set_vms(vms);
            fleet.owner.set_vms(vms, all);
            let change = fleet.owner.figure_change_time();
            shared.metrics.work_change_ms.set(change.as_millis() as i64);
            fleet.permits.set_vms(vms, all);
        }
        quota::tick(shared, vms, all, now);
        sleep(TICK_INTERVAL).await;
    }
}

/// Keeps this vm registered in the list of vms in the store, and reads the list.
async fn maintain_vm_list<A: Adapters>(context: &Context<A>) {
    let mut lease = None;
    loop {
        if context.shared.time_since_leaving().is_some() {
            return;
        }
        lease = keep_registered(context, lease).await;
        let prefix = VMS_PREFIX.to_owned();
        if let StoreReply::Values { entries, .. } = context.store.list_stale(&prefix).await {
            let listed = entries.iter();
            let listed = listed.filter_map(|entry| serde_json::from_slice(&entry.value).ok());
            let listed: Vec<VmEntry> = listed.collect();
            let all_record = listed.iter().all(|vm| vm.records_versions);
            let (shared, now) = (&context.shared, context.shared.now());
            shared.streams().versions.observe_fleet(all_record, now);
            let records: Vec<_> = listed.into_iter().filter_map(record).collect();
            peers::feed_membership(context, Event::Listed(records));
        }
        sleep(VM_LIST_INTERVAL).await;
    }
}

fn record(listed: VmEntry) -> Option<Record> {
    let peer_address = host_address(&listed.peer_address)?;
    // Callers are sent to this address.
    host_address(&listed.caller_address)?;
    let is_plausible =
        listed.zone.len() <= MAX_ZONE_BYTES && listed.capacity_millicores <= MAX_MILLICORES;
    is_plausible.then(|| Record {
        vm: vm_id_of(peer_address),
        zone: listed.zone,
        capacity_millicores: listed.capacity_millicores,
        caller_address: listed.caller_address,
        peer_address: listed.peer_address,
        state: VmState::Live,
        ..Record::default()
    })
}

fn host_address(text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok()?;
    is_host_address(&address).then_some(address)
}

async fn keep_registered<A: Adapters>(
    context: &Context<A>,
    lease: Option<LeaseId>,
) -> Option<LeaseId> {
    if let Some(lease) = lease {
        return match context.store.perform(StoreOp::KeepAlive { lease }).await {
            StoreReply::Expired => None,
            _ => Some(lease),
        };
    }
    let grant = StoreOp::GrantLease {
        ttl: REGISTRATION_TTL,
    };
    let StoreReply::Granted { lease, .. } = context.store.perform(grant).await else {
        return None;
    };
    let shared = &context.shared;
    let config = &shared.config;
    let listed = VmEntry {
        zone: config.zone.clone(),
        capacity_millicores: config.capacity_millicores(),
        caller_address: config.listen.callers.to_string(),
        peer_address: config.listen.peers.to_string(),
        records_versions: true,
    };
    // Serialization of plain strings does not fail.
    let value = serde_json::to_vec(&listed).unwrap_or_default();
    let op = StoreOp::Cas {
        key: format!("{VMS_PREFIX}{}-{}", config.vm_name, shared.incarnation),
        expected: Expected::Absent,
        value,
        lease: Some(lease),
        guard: None,
    };
    match context.store.perform(op).await {
        StoreReply::Written { .. } => Some(lease),
        _ => None,
    }
}

/// Confirms the hand-over at once: leases expire by themselves, and other vms can query the usage
/// counts of this vm until the process ends.
pub(crate) fn hand_over<A: Adapters>(context: &Context<A>) {
    peers::feed_membership(context, Event::HandedOver);
}
