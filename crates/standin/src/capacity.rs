//! Measures control traffic of the decision crate on a virtual clock.
//!
//! The figures are in `docs/CAPACITY.md`. Bytes are those of the MessagePack envelopes plus the
//! measured cost of an HTTP exchange; packet headers are not included. Processor time is wall time
//! of the machines' steps, without encoding and HTTP. State is the growth of resident memory.

mod authority;
mod cpu;
mod dispatch;
mod exchange;
mod membership;
mod plan;
mod row;
mod settings;
mod usage;
mod world;

use pico_args::Arguments;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) vms: usize,
    pub(crate) targets: usize,
    pub(crate) workspaces: usize,
    pub(crate) requests_s: usize,
    pub(crate) zones: usize,
}

const fn size(vms: usize, targets: usize, workspaces: usize, requests_s: usize) -> Size {
    let zones = if vms > 100 { 10 } else { 3 };
    Size {
        vms,
        targets,
        workspaces,
        requests_s,
        zones,
    }
}

/// Largest first, as memory that a large run frees would hide the growth of a later one.
const SIZES: [Size; 4] = [
    size(360, 1400, 10_000, 2500),
    size(90, 400, 1000, 1000),
    size(24, 100, 100, 500),
    size(6, 13, 8, 100),
];

/// Runs all measurements, or those of one role.
pub(crate) fn run(mut args: Arguments) -> Result<(), String> {
    let text = |e: pico_args::Error| e.to_string();
    let output: Option<String> = args.opt_value_from_str("--output").map_err(text)?;
    let role: Option<String> = args.opt_value_from_str("--role").map_err(text)?;
    let allowance = exchange::measure()?;
    let wanted = |name: &str| role.as_deref().is_none_or(|role| role == name);
    let mut rows = Vec::new();
    let mut notes = Vec::new();
    for size in SIZES {
        if wanted("settings") {
            let measured = settings::measure(size.vms, size.workspaces, allowance);
            rows.extend(measured.rows);
            notes.push(format!(
                "a change is in force on all of {} vms after {:?}",
                size.vms, measured.in_force
            ));
            notes.push(format!(
                "of {} vms, {} refuse while a tenth is silent, {} while the store is down",
                size.vms, measured.refusing_in_loss, measured.refusing_in_outage
            ));
        }
        if wanted("membership") {
            rows.push(membership::measure(size.vms, size.zones, allowance));
        }
        if wanted("scheduler") {
            rows.push(dispatch::scheduler(size, allowance));
        }
        if wanted("limits") {
            rows.push(dispatch::limits(size));
        }
        if wanted("targets") {
            rows.extend(dispatch::targets(size, allowance));
        }
        if wanted("usage") {
            rows.push(usage::measure(size, allowance));
        }
        if wanted("leases") {
            rows.push(authority::measure(size, allowance));
        }
    }
    if wanted("usage") {
        let held = usage::lock_times();
        notes.push(format!(
            "at 10,000 requests/s one usage record holds the lock for {:?}, collecting a window of \
             600,000 records for {:?}",
            held.record, held.collect
        ));
    }
    rows.sort_by(|a, b| (&a.role, a.vms).cmp(&(&b.role, b.vms)));
    let slopes = row::slopes(&rows);
    if output.as_deref() == Some("json") {
        let all = serde_json::json!({
            "exchange": allowance, "rows": rows, "slopes": slopes, "notes": notes,
        });
        println!("{all:#}");
        return Ok(());
    }
    println!("exchange: {allowance:?}");
    row::print(&rows, &slopes);
    for note in notes {
        println!("{note}");
    }
    Ok(())
}
