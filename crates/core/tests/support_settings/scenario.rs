//! Scenarios that several test files share. Each returns its world with the violations found.

use jujubebeam_core::settings::replica::Omit;
use rand::Rng;

use super::ms;
use super::world::{Faults, VMS, World, link};

/// Makes 20 changes at random vms, over about 30 s, without faults.
pub(crate) fn without_faults(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    for _ in 0..20 {
        random_change(&mut world);
        let pause = world.rng.random_range(100..2500);
        world.run_for(ms(pause));
        check_convergence(&mut world);
    }
    world.run_for(ms(4000));
    check_convergence(&mut world);
    finish(world)
}

/// Injects random faults, alone and combined, while operators make concurrent changes; then runs
/// for 4 s without faults.
pub(crate) fn with_random_faults(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    for _ in 0..12 {
        if world.rng.random_bool(0.3) {
            heal(&mut world);
        }
        random_fault(&mut world);
        for _ in 0..3 {
            random_change(&mut world);
            random_change(&mut world);
            let team = world.rng.random_range(0..3);
            world.read(team);
            let pause = world.rng.random_range(50..1500);
            world.run_for(ms(pause));
        }
    }
    heal(&mut world);
    world.run_for(ms(4000));
    check_convergence(&mut world);
    // Long enough for the outcome of every change.
    world.run_for(ms(15_000));
    check_convergence(&mut world);
    finish(world)
}

/// Withdraws a key while one vm is partitioned from the store and from all peers.
pub(crate) fn partitioned_vm(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let isolated = world.rng.random_range(0..VMS);
    world.isolate(isolated);
    world.faults.cut_from_store.insert(isolated);
    let pause = world.rng.random_range(0..3000);
    world.run_for(ms(pause));
    let other = (isolated + 1) % VMS;
    world.change(other, 0);
    world.run_for(ms(10_000));
    heal(&mut world);
    world.run_for(ms(4000));
    check_convergence(&mut world);
    finish(world)
}

/// Makes a vm that is the parent of others unresponsive, without membership detecting it. All other
/// vms must continue to serve and get every change.
pub(crate) fn unresponsive_parent(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let child = (0..VMS).find(|vm| {
        let parent = world.vms[*vm as usize].replica.parent();
        parent.is_some_and(|p| world.vms[p.0 as usize].replica.parent().is_some())
    });
    let child = child.expect("the tree has two levels below the watchers");
    let parent = world.vms[child as usize].replica.parent();
    let parent = parent.expect("the child has a parent").0;
    world.faults.unresponsive.insert(parent);
    world.change((parent + 1) % VMS, 0);
    for _ in 0..20 {
        world.run_for(ms(500));
        let now = world.now;
        for vm in (0..VMS).filter(|vm| *vm != parent) {
            if !world.vms[vm as usize].permit.may_start(now) {
                let text = format!("{now:?}: vm {vm} refuses below the unresponsive vm {parent}");
                world.checker.violations.push(text);
            }
        }
    }
    heal(&mut world);
    world.run_for(ms(4000));
    check_convergence(&mut world);
    finish(world)
}

/// Partitions the vm that accepts a change at about the moment of the write, while the store fails,
/// and later restarts some vms. Every vm that serves in outage mode must have the change.
pub(crate) fn writer_lost_with_store(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let vm = world.rng.random_range(0..VMS);
    let before = world.rng.random_range(0..80);
    if world.rng.random_bool(0.5) {
        // No other vm receives the change from the store.
        let others = (0..VMS).filter(|o| *o != vm);
        world.faults.cut_from_store.extend(others);
    }
    world.change(vm, 0);
    world.run_for(ms(before));
    world.isolate(vm);
    world.faults.store_down = true;
    world.run_for(ms(1000));
    let restarts = world.rng.random_range(0..3);
    for other in (0..VMS).filter(|o| *o != vm).take(restarts) {
        world.restart(other);
        let pause = world.rng.random_range(0..400);
        world.run_for(ms(pause));
    }
    world.run_for(ms(10_000));
    heal(&mut world);
    world.run_for(ms(4000));
    check_convergence(&mut world);
    finish(world)
}

/// A change is held by a majority without a vm to spare. While the store is down, the vm that
/// accepted the change is partitioned, and the remainder of that majority restarts and connects to
/// the vms that never had the change.
pub(crate) fn restarted_majority(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let first = world.rng.random_range(0..VMS);
    let vms: Vec<_> = (0..VMS).map(|i| (first + i) % VMS).collect();
    let (holders, others) = vms.split_at(4);
    for holder in holders {
        for other in others {
            world.faults.cut_links.insert(link(*holder, *other));
        }
    }
    world.faults.cut_from_store.extend(others);
    world.change(first, 0);
    let pause = world.rng.random_range(100..600);
    world.run_for(ms(pause));
    world.faults = Faults::default();
    world.faults.store_down = true;
    world.isolate(first);
    for holder in &holders[1..] {
        world.restart(*holder);
    }
    world.run_for(ms(10_000));
    heal(&mut world);
    world.run_for(ms(4000));
    check_convergence(&mut world);
    finish(world)
}

pub(crate) fn random_change(world: &mut World) {
    let vm = world.rng.random_range(0..VMS);
    let team = world.rng.random_range(0..3);
    world.change(vm, team);
}

fn random_fault(world: &mut World) {
    let vm = world.rng.random_range(0..VMS);
    match world.rng.random_range(0..10) {
        0 => world.isolate(vm),
        1 => {
            world.faults.cut_from_store.insert(vm);
        }
        2 => world.faults.store_down = true,
        3 => world.faults.store_slow = true,
        4 => world.faults.lose_answers = true,
        5 => world.faults.loss_percent = 20,
        6 => world.faults.slow_network = true,
        7 => world.vms[vm as usize].paused = true,
        8 => world.restart(vm),
        _ => split(world),
    }
}

/// Cuts the vms into two groups.
fn split(world: &mut World) {
    let side: u32 = world.rng.random_range(1..(1 << VMS) - 1);
    for a in 0..VMS {
        for b in 0..a {
            if (side >> a) & 1 != (side >> b) & 1 {
                world.faults.cut_links.insert(link(a, b));
            }
        }
    }
}

pub(crate) fn heal(world: &mut World) {
    world.faults = Faults::default();
    for vm in &mut world.vms {
        vm.paused = false;
    }
    let now = world.now;
    // A vm that resumes after a pause must refuse before it has handled any event.
    world.checker.check_serving(now, &world.vms);
}

pub(crate) fn check_convergence(world: &mut World) {
    world
        .checker
        .check_convergence(world.now, &world.vms, &world.store);
}

fn finish(mut world: World) -> World {
    let faults = world.recorder.check(&world.store);
    world.checker.violations.extend(faults);
    world
}
