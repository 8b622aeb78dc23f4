//! Guards against limits that several vms together exceed, or that one vm cannot use up.

use std::time::Duration;

use jujubebeam_core::limits::{LimitCommand, LimitConfig, LimitEvent, LimitKind, Limiter};
use jujubebeam_core::settings::document::LimitsDocument;
use jujubebeam_core::{Machine, VmId, WorkspaceId};

const WORKSPACE: WorkspaceId = WorkspaceId(7);

fn limits() -> LimitsDocument {
    LimitsDocument {
        requests_per_s: 60,
        ..LimitsDocument::default()
    }
}

/// Ticks all limiters and delivers their digests to each other.
fn tick(vms: &mut [Limiter], now: Duration) {
    let mut sent = Vec::new();
    for (from, vm) in vms.iter_mut().enumerate() {
        let mut out = Vec::new();
        vm.step(LimitEvent::Tick, now, &mut out);
        sent.extend(
            out.into_iter()
                .map(|LimitCommand::Gossip(digest)| (from, digest)),
        );
    }
    for (from, digest) in sent {
        for (to, vm) in vms.iter_mut().enumerate() {
            if to != from {
                let event = LimitEvent::Peer {
                    from: VmId(from as u32),
                    digest: digest.clone(),
                };
                vm.step(event, now, &mut Vec::new());
            }
        }
    }
}

fn six_vms() -> Vec<Limiter> {
    let mut vms: Vec<Limiter> = (0..6)
        .map(|_| Limiter::new(LimitConfig::default()))
        .collect();
    for vm in &mut vms {
        vm.step(LimitEvent::Vms(6), Duration::ZERO, &mut Vec::new());
    }
    vms
}

/// Guards against a limit that is multiplied by the number of vms, and against one of which a
/// caller can use only a sixth because it sends all requests to one of six vms.
#[test]
fn rate_holds_over_all_vms_and_follows_demand() {
    for busy_vms in [1, 2, 6] {
        let mut vms = six_vms();
        let mut admitted = 0;
        for ms in (0..30_000).step_by(10) {
            let now = Duration::from_millis(ms);
            if ms % 100 == 0 {
                tick(&mut vms, now);
            }
            // The total demand is about three times the limit.
            let vm = (ms / 10) as usize % busy_vms;
            for _ in 0..2 {
                let ok = vms[vm].admit(WORKSPACE, &limits(), now).is_ok();
                admitted += u32::from(ok && ms >= 10_000);
                vms[vm].finish(WORKSPACE, 0, 0);
            }
        }
        let rate = f64::from(admitted) / 20.0;
        assert!(
            (45.0..=63.0).contains(&rate),
            "{busy_vms} vms admit {rate}/s"
        );
    }
}

/// Guards against a budget that each vm enforces on its own spending only.
#[test]
fn budget_counts_spending_of_other_vms() {
    let limits = LimitsDocument {
        budget_cents_per_day: 1,
        ..LimitsDocument::default()
    };
    let mut vms = six_vms();
    let now = Duration::from_secs(1);
    assert!(vms[0].admit(WORKSPACE, &limits, now).is_ok());
    vms[0].finish(WORKSPACE, 10, 1_000_000);
    tick(&mut vms, now);
    let refusal = vms[3]
        .admit(WORKSPACE, &limits, now)
        .expect_err("the budget is spent");
    assert_eq!(refusal.kind, LimitKind::Budget);
}

/// Guards against digests that always name every workspace ever used, and against a restarted vm
/// that never learns what idle workspaces have spent.
#[test]
fn digests_rotate_through_idle_workspaces() {
    const WORKSPACES: u64 = 200;
    let config = LimitConfig::default();
    let mut vm = Limiter::new(config);
    for id in 0..WORKSPACES {
        let now = Duration::from_secs(1);
        let admitted = vm.admit(WorkspaceId(id), &limits(), now);
        assert!(admitted.is_ok());
        vm.finish(WorkspaceId(id), 10, 1000);
    }
    // After 300 steps the average demand has decayed to zero.
    let mut named = std::collections::BTreeSet::new();
    for step in 0..400 {
        let now = Duration::from_secs(1) + step * config.gossip_interval;
        let mut out = Vec::new();
        vm.step(LimitEvent::Tick, now, &mut out);
        for LimitCommand::Gossip(digest) in out.into_iter().filter(|_| step >= 300) {
            assert!(digest.workspaces.len() <= config.repeated_entries);
            named.extend(digest.workspaces.iter().map(|(id, _)| id.0));
        }
    }
    assert_eq!(named.len() as u64, WORKSPACES);
}

/// Guards against a long-running request that other vms stop counting because its digest entry
/// does not change.
#[test]
fn long_running_requests_stay_in_the_digests() {
    let limits = LimitsDocument {
        concurrent_requests: 1,
        ..LimitsDocument::default()
    };
    let mut vms = six_vms();
    assert!(vms[0].admit(WORKSPACE, &limits, Duration::ZERO).is_ok());
    for ms in (0..60_000).step_by(100) {
        tick(&mut vms, Duration::from_millis(ms));
    }
    let now = Duration::from_secs(60);
    let refusal = vms[3].admit(WORKSPACE, &limits, now);
    assert_eq!(refusal.map_err(|r| r.kind), Err(LimitKind::Concurrency));
}

/// Guards against concurrency slots that are not released when requests end.
#[test]
fn concurrency_slots_are_released() {
    let limits = LimitsDocument {
        concurrent_requests: 2,
        ..LimitsDocument::default()
    };
    let mut vm = Limiter::new(LimitConfig::default());
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        assert!(vm.admit(WORKSPACE, &limits, now).is_ok());
        assert!(vm.admit(WORKSPACE, &limits, now).is_ok());
        let refusal = vm.admit(WORKSPACE, &limits, now).expect_err("two run");
        assert_eq!(refusal.kind, LimitKind::Concurrency);
        vm.finish(WORKSPACE, 0, 0);
        vm.finish(WORKSPACE, 0, 0);
    }
}
