//! Rate limits that targets state, and permits of several vms for one target.

use std::time::Duration;

use jujubebeam_core::gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(id: &str, born_ms: u64) -> CatalogTarget {
    CatalogTarget {
        id: id.into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        zone: "a".into(),
        slots: 16,
        phase: TargetPhase::Ready,
        stage: None,
        is_reclaimable: false,
        born_ms,
        version: Some("v1".into()),
    }
}

fn catalog(ids: &[&str]) -> Catalog {
    let mut catalog = Catalog::default();
    let targets = ids.iter().map(|id| target(id, 1)).collect();
    catalog.update(targets, ms(0), ms(0));
    catalog
}

fn request(excluded: &[TargetKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "s",
        stage: None,
        parts: &[],
        excluded,
        longest_wait: ms(100),
        time_left: ms(1500),
        zone: "a",
        engine: EngineLimits::default(),
        hand_over: None,
        version: RequiredVersion::Any,
    }
}

/// A vm that sends to the only target of the catalog.
struct Vm {
    limits: RateLimits,
    permits: Permits,
    held_until: Duration,
}

/// What a fleet of vms meets.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    vms: usize,
    limit_per_s: f64,
    /// Requests per second of the whole fleet.
    per_s: f64,
    /// Share of the requests that arrive at the first vm.
    first_vm_ratio: f64,
    /// When the owner stops replying to others, and for how long.
    silence: Option<(Duration, Duration)>,
    /// When another vm starts to own the service, and for how long both do.
    handover: Option<(Duration, Duration)>,
    seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vms: 6,
            limit_per_s: 7.0,
            per_s: 200.0,
            first_vm_ratio: 0.0,
            silence: None,
            handover: None,
            seed: 1,
        }
    }
}

const PLAYED: Duration = Duration::from_secs(30);

impl Scenario {
    /// Plays the scenario and returns when requests were sent to the target.
    fn play(self) -> Vec<Duration> {
        let catalog = catalog(&["i-1"]);
        let key = catalog.key_of("i-1").unwrap();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut vms: Vec<_> = (0..self.vms)
            .map(|vm| {
                let mut permits = Permits::new(PermitConfig {
                    seed: vm as u64 ^ self.seed << 32,
                    ..PermitConfig::default()
                });
                permits.set_vms(self.vms, self.vms);
                Vm {
                    limits: RateLimits::default(),
                    permits,
                    held_until: ms(0),
                }
            })
            .collect();
        let mut sent = Vec::new();
        for now in (0..PLAYED.as_millis() as u64).map(ms) {
            for vm in 0..self.vms {
                if random.random_bool(1.0 / 250.0) {
                    let reports = vms[vm].limits.reports(&catalog, now);
                    let peer = random.random_range(0..self.vms);
                    vms[peer].limits.merge(&catalog, &reports, now);
                }
            }
            for _ in 0..2 {
                if !random.random_bool(self.per_s / 2000.0) {
                    continue;
                }
                let vm = match random.random_bool(self.first_vm_ratio) {
                    true => 0,
                    false => random.random_range(0..self.vms),
                };
                if self.may_send(&mut vms, vm, &catalog, key, now, &mut random) {
                    sent.push(now);
                    let limit = Some(self.limit_per_s);
                    vms[vm].limits.record(key, limit, now, now);
                }
            }
        }
        sent
    }

    fn may_send(
        self,
        vms: &mut [Vm],
        vm: usize,
        catalog: &Catalog,
        key: TargetKey,
        now: Duration,
        random: &mut SmallRng,
    ) -> bool {
        if vms[vm].limits.limit_per_s(key).is_none() {
            return true;
        }
        if now < vms[vm].held_until {
            return false;
        }
        let owner = match self.handover {
            Some((at, _)) if now < at => 1,
            Some((at, overlap)) if now < at + overlap && random.random_bool(0.5) => 1,
            _ => 0,
        } % vms.len();
        let is_silent = self
            .silence
            .is_some_and(|(at, time)| now >= at && now < at + time);
        if is_silent && vm != owner {
            return vms[vm].permits.take_share(key, self.limit_per_s, now);
        }
        let query = PermitQuery {
            target: vms[vm].limits.report(catalog, key, now).unwrap(),
            demand: PermitDemand::default(),
        };
        let owner = &mut vms[owner];
        let reports = std::slice::from_ref(&query.target);
        owner.limits.merge(catalog, reports, now);
        match owner.permits.answer(catalog, &owner.limits, &query, now) {
            PermitReply::Granted => true,
            PermitReply::Refused(waits) => {
                let wait = waits.iter().find(|(id, _)| id == "i-1").unwrap().1;
                vms[vm].held_until = now + wait;
                false
            }
            PermitReply::UnknownTarget => panic!("the target is in the catalog"),
        }
    }

    /// Requests that the target may get in any 4 s: half as many again as it allows, and 5.
    fn bound(self) -> usize {
        (self.limit_per_s * 4.0 * 1.5 + 5.0) as usize
    }

    /// Most requests in any 4 s that begin 3 s after the first statement or later.
    fn busiest(self) -> usize {
        let sent = self.play();
        let settled = sent.iter().filter(|at| **at >= sent[0] + ms(3000));
        let counts = settled.map(|start| {
            let end = *start + ms(4000);
            sent.iter().filter(|at| *at >= start && **at < end).count()
        });
        counts.max().unwrap_or(0)
    }

    #[track_caller]
    fn check(self) -> usize {
        let busiest = self.busiest();
        assert!(busiest <= self.bound(), "{self:?}: {busiest} requests");
        busiest
    }
}

const SEEDS: std::ops::Range<u64> = 0..10;

/// Limits of the scenarios, in requests per second.
const LIMITS_PER_S: [f64; 6] = [0.0, 0.3, 1.0, 5.6, 20.0, 80.0];

/// Guards against a sum over the vms that grows with their number, and against permits that are lost
/// when one vm gets all callers.
#[test]
fn the_sum_over_all_vms_keeps_the_limit() {
    for seed in SEEDS {
        for vms in [1, 2, 6, 95, 360] {
            for limit_per_s in LIMITS_PER_S {
                for first_vm_ratio in [0.0, 0.9] {
                    let scenario = Scenario {
                        vms,
                        limit_per_s,
                        first_vm_ratio,
                        seed,
                        ..Scenario::default()
                    };
                    let busiest = scenario.check();
                    let enough = (limit_per_s * 4.0 * 0.9) as usize;
                    assert!(busiest >= enough, "{scenario:?}: {busiest} requests");
                }
            }
        }
    }
}

/// Guards against fixed shares that exceed a limit next to the permits of an owner that no longer
/// replies to others.
#[test]
fn a_silent_owner_does_not_raise_the_sum() {
    for seed in SEEDS {
        for (vms, limit_per_s) in [(6, 5.6), (6, 80.0), (95, 5.6), (360, 1.0)] {
            for first_vm_ratio in [0.0, 0.5] {
                let scenario = Scenario {
                    vms,
                    limit_per_s,
                    first_vm_ratio,
                    silence: Some((ms(8000), ms(12_000))),
                    seed,
                    ..Scenario::default()
                };
                scenario.check();
            }
        }
    }
}

/// Guards against a new owner that grants permits which the former owner has granted already, while
/// some vms still query the former one.
#[test]
fn a_new_owner_does_not_grant_saved_permits() {
    for seed in SEEDS {
        for (vms, limit_per_s) in [(2, 5.6), (6, 80.0), (95, 5.6), (360, 1.0)] {
            let scenario = Scenario {
                vms,
                limit_per_s,
                handover: Some((ms(10_000), ms(1500))),
                seed,
                ..Scenario::default()
            };
            scenario.check();
        }
    }
}

/// Guards against two parts of a fleet, each with an owner of its own, that both grant the whole limit.
#[test]
fn owners_of_a_divided_fleet_grant_one_limit() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let mut granted = 0;
    for reachable in [2, 4] {
        let mut permits = Permits::new(PermitConfig::default());
        permits.set_vms(reachable, 6);
        let demand = PermitDemand::default();
        let times = (0..20_000).step_by(5).map(ms);
        granted += times
            .filter(|now| permits.grant(key, 7.0, demand, *now).is_ok())
            .count();
    }
    assert!(
        (120..=145).contains(&granted),
        "{granted} in 20 s at 7 a second"
    );
}

/// Guards against an answer that was under way when the target stated its limit, and ends it.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let mut limits = RateLimits::default();
    assert!(!limits.record(key, None, ms(0), ms(10)));
    assert!(limits.record(key, Some(7.0), ms(100), ms(120)));
    assert!(!limits.record(key, None, ms(110), ms(130)));
    assert_eq!(limits.limit_per_s(key), Some(7.0));
    assert!(limits.record(key, Some(5.6), ms(130), ms(140)));
    assert!(limits.record(key, None, ms(150), ms(160)));
    assert_eq!(limits.limit_per_s(key), None);
}

/// Guards against a message to every vm with each answer of a target that adjusts its limit.
#[test]
fn a_slight_change_of_a_limit_is_not_announced() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let mut limits = RateLimits::default();
    assert!(limits.record(key, Some(7.0), ms(0), ms(10)));
    assert!(!limits.record(key, Some(7.3), ms(20), ms(30)));
    assert_eq!(limits.limit_per_s(key), Some(7.3));
    assert!(limits.record(key, Some(5.0), ms(40), ms(50)));
    assert!(limits.record(key, Some(0.0), ms(60), ms(70)));
    assert!(limits.record(key, Some(0.5), ms(80), ms(90)));
}

/// Guards against a report that returns to its origin and revives a limit which has ended, and against
/// vms that never hear of the end.
#[test]
fn the_newest_statement_replaces_older_ones_at_all_vms() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let (mut first, mut second) = (RateLimits::default(), RateLimits::default());
    first.record(key, Some(7.0), ms(0), ms(100));
    let reports = first.reports(&catalog, ms(150));
    assert_eq!(second.merge(&catalog, &reports, ms(160)), [key]);
    first.record(key, None, ms(900), ms(1000));
    let stale = second.reports(&catalog, ms(1100));
    assert!(first.merge(&catalog, &stale, ms(1150)).is_empty());
    assert_eq!(first.limit_per_s(key), None);
    let reports = first.reports(&catalog, ms(1200));
    assert_eq!(second.merge(&catalog, &reports, ms(1210)), [key]);
    assert_eq!(second.limit_per_s(key), None);
}

/// Guards against vms that keep a limit which ended shortly after another vm had passed it on. They may
/// send nothing to the target themselves, such as the owner that places the prompts of others.
#[test]
fn a_limit_that_ends_soon_after_its_last_statement_ends_at_all_vms() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let (mut first, mut second) = (RateLimits::default(), RateLimits::default());
    first.record(key, Some(7.0), ms(0), ms(100));
    second.record(key, Some(7.0), ms(900), ms(1000));
    first.record(key, None, ms(1050), ms(1100));
    let reports = first.reports(&catalog, ms(1500));
    assert_eq!(second.merge(&catalog, &reports, ms(1510)), [key]);
    assert_eq!(second.limit_per_s(key), None);
}

/// Guards against a limit that passes to another run under the same id and address, and against one
/// that is lost while the entry of its run has expired.
#[test]
fn a_limit_belongs_to_the_run_that_stated_it() {
    let mut catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let mut limits = RateLimits::default();
    limits.record(key, Some(7.0), ms(0), ms(100));
    let reports = limits.reports(&catalog, ms(150));
    catalog.update(Vec::new(), ms(0), ms(200));
    catalog.remove_expired(ms(200));
    limits.evict_removed(&catalog, ms(300));
    catalog.update(vec![target("i-1", 1)], ms(0), ms(400));
    assert_eq!(
        limits.limit_per_s(catalog.key_of("i-1").unwrap()),
        Some(7.0)
    );
    catalog.update(vec![target("i-1", 2)], ms(0), ms(500));
    let new_run = catalog.key_of("i-1").unwrap();
    assert_eq!(limits.limit_per_s(new_run), None);
    assert!(limits.merge(&catalog, &reports, ms(600)).is_empty());
    limits.evict_removed(&catalog, ms(70_000));
    assert_eq!(limits.known().count(), 0);
}

/// Guards against urgent requests that are refused while less urgent ones are sent, and against less
/// urgent ones that are never sent.
#[test]
fn urgent_requests_get_most_permits_and_others_some() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let mut permits = Permits::new(PermitConfig::default());
    let mut granted = [0, 0];
    for now in (0..40_000).step_by(5).map(ms) {
        // The less urgent request comes first, as callers do who all return at once.
        for rank in [1, 0] {
            let demand = PermitDemand {
                rank,
                is_continuation: false,
            };
            let is_granted = permits.grant(key, 10.0, demand, now).is_ok();
            granted[rank as usize] += u32::from(is_granted);
        }
    }
    let all: u32 = granted.iter().sum();
    assert!(granted[0] >= all * 7 / 10, "{granted:?}");
    assert!(granted[1] >= all * 2 / 10, "{granted:?}");
    assert!(all >= 380, "{granted:?}");
}

/// Guards against a limit that ends streams whose target has failed, and against continuations that
/// exceed it.
#[test]
fn continuations_use_permits_in_advance() {
    let catalog = catalog(&["i-1"]);
    let key = catalog.key_of("i-1").unwrap();
    let mut permits = Permits::new(PermitConfig::default());
    let continuation = PermitDemand {
        rank: 0,
        is_continuation: true,
    };
    let attempts = (0..10).filter(|_| permits.grant(key, 1.0, continuation, ms(1000)).is_ok());
    assert_eq!(attempts.count(), 2);
    let new = PermitDemand::default();
    let wait = permits.grant(key, 1.0, new, ms(1000)).unwrap_err();
    assert_eq!(wait, ms(3000), "the advance is paid back first");
}

/// Guards against refusals that name no time or a time that has passed, and against refusing requests
/// which another target could take.
#[test]
fn targets_without_permits_are_omitted() {
    let catalog = catalog(&["i-1", "i-2"]);
    let keys = ["i-1", "i-2"].map(|id| catalog.key_of(id).unwrap());
    let mut placer = Placer::new(PlacementConfig::default());
    placer.set_limited(keys[0], None, true);
    placer.hold(keys[0], None, ms(3000), ms(1000));
    for _ in 0..20 {
        let placed = placer.place(&catalog, &request(&[]), ms(1000)).unwrap();
        assert_eq!(placed.key, keys[1]);
        assert_eq!(placed.omitted_targets.limited, 1);
        placer.finished(&placed, ms(1000));
    }
    placer.set_limited(keys[1], None, true);
    placer.hold(keys[1], None, ms(2500), ms(1000));
    let refused = placer.place(&catalog, &request(&[]), ms(1000)).unwrap_err();
    let expected = PlacementRefused::Limited {
        retry_after: ms(2500),
    };
    assert_eq!(refused, expected);
    // The end of the limit ends the hold.
    placer.set_limited(keys[0], None, false);
    let placed = placer.place(&catalog, &request(&[]), ms(1000)).unwrap();
    assert_eq!(placed.key, keys[0]);
}

/// Guards against an owner that places prompts at engines without a permit.
#[test]
fn an_owner_places_prompts_within_the_limits() {
    let mut catalog = Catalog::default();
    let engine = |id: &str| CatalogTarget {
        stage: Some(Stage::Prefill),
        ..target(id, 1)
    };
    catalog.update(vec![engine("i-1"), engine("i-2")], ms(0), ms(0));
    let key = catalog.key_of("i-1").unwrap();
    let mut owner = PromptOwner::new(PlacementConfig::default());
    let (mut limits, mut permits) = (RateLimits::default(), Permits::new(PermitConfig::default()));
    limits.record(key, Some(5.0), ms(0), ms(0));
    let mut at_limited = 0;
    for number in 0..2000 {
        let now = ms(number * 5);
        let id = PromptRequestId {
            vm: jujubebeam_core::VmId(1),
            number,
        };
        let query = PromptPlacementRequest {
            id,
            service: "s".into(),
            parts: Default::default(),
            excluded: Default::default(),
            longest_wait: ms(400),
            time_left: ms(8000),
            zone: "a".into(),
            rank: 0,
            is_continuation: false,
            known_links: None,
        };
        let reply = owner.place_within_limits(
            &catalog,
            &limits,
            &mut permits,
            &query,
            EngineLimits::default(),
            now,
        );
        let place = reply.place.expect("the other engine has no limit");
        at_limited += u32::from(place.target == "i-1");
        let end = PromptEnd {
            id,
            outcome: PromptOutcome::Computed,
            took: ms(4),
            report: None,
        };
        owner.ended(&end, now + ms(4));
    }
    // 10 s at 5 a second, and a burst.
    assert!((20..=53).contains(&at_limited), "{at_limited} prompts");
}
