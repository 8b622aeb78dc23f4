//! Scenarios that the proofs share. Each returns what the checkers report.

use jujubebeam_core::settings::replica::Omit;
use rand::Rng;

use super::ms;
use super::world::{Faults, VMS, World, link};

/// No faults: changes at random vms for 30 s.
pub(crate) fn quiet(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    for _ in 0..20 {
        random_change(&mut world);
        let pause = world.rng.random_range(100..2500);
        world.run_for(ms(pause));
        settle(&mut world);
    }
    world.run_for(ms(4000));
    settle(&mut world);
    finish(world)
}

/// Random faults, alone and together, while operators race; then 4 s without faults.
pub(crate) fn stormy(seed: u64, omit: Omit) -> World {
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
    settle(&mut world);
    // Long enough for the outcome of every change.
    world.run_for(ms(15_000));
    settle(&mut world);
    finish(world)
}

/// A key is withdrawn while one vm is cut off from the store and from all peers.
pub(crate) fn cut_off(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let lost = world.rng.random_range(0..VMS);
    world.isolate(lost);
    world.faults.cut_from_store.insert(lost);
    let pause = world.rng.random_range(0..3000);
    world.run_for(ms(pause));
    let other = (lost + 1) % VMS;
    world.change(other, 0);
    world.run_for(ms(10_000));
    heal(&mut world);
    world.run_for(ms(4000));
    settle(&mut world);
    finish(world)
}

/// A vm that others have as parent falls silent, and membership does not notice. All others serve
/// on and get every change.
pub(crate) fn silent_parent(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let child = (0..VMS).find(|vm| {
        let parent = world.vms[*vm as usize].replica.parent();
        parent.is_some_and(|p| world.vms[p.0 as usize].replica.parent().is_some())
    });
    let child = child.expect("the tree has two levels below the watchers");
    let parent = world.vms[child as usize].replica.parent();
    let parent = parent.expect("the child has a parent").0;
    world.faults.silent.insert(parent);
    world.change((parent + 1) % VMS, 0);
    for _ in 0..20 {
        world.run_for(ms(500));
        let now = world.now;
        for vm in (0..VMS).filter(|vm| *vm != parent) {
            if !world.vms[vm as usize].permit.may_start(now) {
                let text = format!("{now:?}: vm {vm} refuses below the silent {parent}");
                world.checker.violations.push(text);
            }
        }
    }
    heal(&mut world);
    world.run_for(ms(4000));
    settle(&mut world);
    finish(world)
}

/// The vm that accepts a change is lost together with the store at about the moment of the
/// write, and later some vms restart. Whoever goes on in outage mode must have the change.
pub(crate) fn lost_with_store(seed: u64, omit: Omit) -> World {
    let mut world = World::new(seed, omit);
    world.run_for(ms(4000));
    let vm = world.rng.random_range(0..VMS);
    let before = world.rng.random_range(0..80);
    if world.rng.random_bool(0.5) {
        // Nobody else hears of the change from the store.
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
    settle(&mut world);
    finish(world)
}

/// A change is held by a bare majority. The vm that accepted it is lost, the rest of that majority
/// restarts and meets the vms that never had the change. The store is down.
pub(crate) fn forgotten_majority(seed: u64, omit: Omit) -> World {
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
    settle(&mut world);
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
    // A vm that wakes from a pause must refuse before it has handled any event.
    world.checker.observe(now, &world.vms);
}

pub(crate) fn settle(world: &mut World) {
    world.checker.settled(world.now, &world.vms, &world.store);
}

fn finish(mut world: World) -> World {
    let faults = world.recorder.check(&world.store);
    world.checker.violations.extend(faults);
    world
}
