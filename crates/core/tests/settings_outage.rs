//! Outages of the store: which vms continue to serve, which stop, and when a new vm may serve.

mod support_settings;

use jujubebeam_core::settings::replica::Omit;
use support_settings::ms;
use support_settings::scenario::heal;
use support_settings::seeds;
use support_settings::world::{VMS, World};

fn running_world(seed: u64) -> World {
    let mut world = World::new(seed, Omit::default());
    world.run_for(ms(4000));
    world
}

fn serving(world: &World) -> usize {
    let now = world.now;
    let vms = world.vms.iter().filter(|vm| vm.permit.may_start(now));
    vms.count()
}

/// Guards against a store outage that interrupts serving, even for a moment.
#[test]
fn store_outage_does_not_stop_serving() {
    for seed in seeds(50) {
        let mut world = running_world(seed);
        world.faults.store_down = true;
        for _ in 0..600 {
            world.run_for(ms(100));
            assert_eq!(serving(&world), VMS as usize, "seed {seed} {:?}", world.now);
        }
    }
}

/// Guards against outage mode that never ends.
#[test]
fn outage_mode_ends_at_the_limit() {
    let mut world = running_world(1);
    world.faults.store_down = true;
    world.run_for(ms(14 * 60_000));
    assert_eq!(serving(&world), VMS as usize);
    world.run_for(ms(2 * 60_000));
    assert_eq!(serving(&world), 0);
    heal(&mut world);
    world.run_for(ms(4000));
    assert_eq!(serving(&world), VMS as usize);
}

/// Guards against a new vm that serves without settings, or that never serves during an outage.
#[test]
fn new_vm_serves_only_with_a_full_set() {
    for seed in seeds(50) {
        let mut world = running_world(seed);
        world.change(0, 1);
        world.run_for(ms(4000));
        world.faults.store_down = true;
        world.run_for(ms(10_000));
        let vm = (seed % u64::from(VMS)) as u32;
        world.restart(vm);
        assert!(!world.vms[vm as usize].permit.may_start(world.now));
        let expected = world.store.keys["config/teams/t1"].modified;
        for _ in 0..60 {
            world.run_for(ms(50));
            let state = &world.vms[vm as usize];
            if state.permit.may_start(world.now) {
                let present = state.replica.revision("config/teams/t1");
                assert_eq!(present, Some(expected), "seed {seed}");
            }
        }
        assert_eq!(serving(&world), VMS as usize, "seed {seed}");
    }
}

/// Guards against vms that serve without settings after a restart of the whole fleet, and against a
/// fleet that does not recover when the store is available again.
#[test]
fn restart_of_all_vms_in_an_outage_waits_for_the_store() {
    for seed in seeds(50) {
        let mut world = running_world(seed);
        world.faults.store_down = true;
        world.run_for(ms(3000));
        for vm in 0..VMS {
            world.restart(vm);
        }
        for _ in 0..100 {
            world.run_for(ms(100));
            assert_eq!(serving(&world), 0, "seed {seed}");
        }
        heal(&mut world);
        world.run_for(ms(4000));
        assert_eq!(serving(&world), VMS as usize, "seed {seed}");
    }
}

/// Guards against a minority that continues to serve without the store.
#[test]
fn minority_without_the_store_stops() {
    for seed in seeds(50) {
        let mut world = running_world(seed);
        for vm in [0, 1] {
            world.isolate(vm);
            world.faults.cut_from_store.insert(vm);
        }
        world.run_for(ms(4000));
        for vm in [0, 1] {
            let permit = world.vms[vm].permit;
            assert!(!permit.may_start(world.now), "seed {seed}");
            assert!(!permit.may_continue(world.now), "seed {seed}");
        }
        assert_eq!(serving(&world), 4, "seed {seed}");
    }
}

/// Guards against a vm that resumes after a pause and serves with outdated settings.
#[test]
fn paused_vm_resumes_stale() {
    for seed in seeds(50) {
        let mut world = running_world(seed);
        world.vms[2].paused = true;
        world.change(0, 0);
        world.run_for(ms(5000));
        world.vms[2].paused = false;
        assert!(!world.vms[2].permit.may_continue(world.now), "seed {seed}");
        world.run_for(ms(4000));
        assert_eq!(serving(&world), VMS as usize, "seed {seed}");
    }
}
