//! One line of the result, and straight lines through several.

use serde::Serialize;

use super::world::Traffic;

/// Cost of one role per vm at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Row {
    pub(crate) role: String,
    pub(crate) vms: usize,
    pub(crate) scale: String,
    /// Sent and received together, as the budget counts them.
    pub(crate) bytes_s: f64,
    /// The vm with the most bytes.
    pub(crate) most_bytes_s: f64,
    pub(crate) exchanges_s: f64,
    pub(crate) cpu_us_s: f64,
    pub(crate) state_bytes: u64,
    /// Calls of all vms together; a waiting watch counts as one a second.
    pub(crate) store_calls_s: f64,
}

impl Row {
    pub(crate) fn new(role: &str, vms: usize, traffic: &[Traffic], seconds: f64) -> Self {
        let count = traffic.len().max(1) as f64;
        let both = |t: &Traffic| (t.sent_bytes + t.received_bytes) as f64 / seconds;
        let busy: f64 = traffic.iter().map(|t| t.busy.as_secs_f64()).sum();
        let exchanges: u64 = traffic.iter().map(|t| t.exchanges).sum();
        Self {
            role: role.into(),
            vms,
            bytes_s: traffic.iter().map(both).sum::<f64>() / count,
            most_bytes_s: traffic.iter().map(both).fold(0.0, f64::max),
            exchanges_s: exchanges as f64 / count / seconds,
            cpu_us_s: busy * 1e6 / count / seconds,
            ..Self::default()
        }
    }
}

/// Change of one figure per vm of the fleet.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Slope {
    pub(crate) role: String,
    pub(crate) bytes_s_per_vm: f64,
    pub(crate) cpu_us_s_per_vm: f64,
    /// Exponent of the bytes between the two largest sizes: 0 is constant, 1 is linear.
    pub(crate) bytes_exponent: f64,
}

/// Fits straight lines by least squares over the number of vms.
pub(crate) fn slopes(rows: &[Row]) -> Vec<Slope> {
    let mut roles: Vec<&str> = rows.iter().map(|r| r.role.as_str()).collect();
    roles.dedup();
    roles.sort_unstable();
    roles.dedup();
    let slopes = roles.into_iter().map(|role| {
        let of: Vec<_> = rows.iter().filter(|r| r.role == role).collect();
        Slope {
            role: role.into(),
            bytes_s_per_vm: slope(&of, |r| r.bytes_s),
            cpu_us_s_per_vm: slope(&of, |r| r.cpu_us_s),
            bytes_exponent: exponent(&of),
        }
    });
    slopes.collect()
}

fn slope(rows: &[&Row], figure: fn(&Row) -> f64) -> f64 {
    let count = rows.len().max(1) as f64;
    let mean_x = rows.iter().map(|r| r.vms as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(|r| figure(r)).sum::<f64>() / count;
    let over = rows
        .iter()
        .map(|r| (r.vms as f64 - mean_x) * (figure(r) - mean_y));
    let under: f64 = rows.iter().map(|r| (r.vms as f64 - mean_x).powi(2)).sum();
    over.sum::<f64>() / under.max(1e-9)
}

fn exponent(rows: &[&Row]) -> f64 {
    let mut sorted = rows.to_vec();
    sorted.sort_by_key(|r| std::cmp::Reverse(r.vms));
    let [large, small, ..] = sorted[..] else {
        return 0.0;
    };
    let bytes = (large.bytes_s / small.bytes_s.max(1e-9)).max(1e-9);
    bytes.ln() / (large.vms as f64 / small.vms as f64).ln()
}

/// Prints the rows and slopes as text.
pub(crate) fn print(rows: &[Row], slopes: &[Slope]) {
    println!(
        "{:<32} {:>5} {:>12} {:>12} {:>8} {:>10} {:>12} {:>8}  scale",
        "role", "vms", "B/s", "most B/s", "exch/s", "cpu us/s", "state B", "store/s"
    );
    for row in rows {
        println!(
            "{:<32} {:>5} {:>12.0} {:>12.0} {:>8.2} {:>10.0} {:>12} {:>8.1}  {}",
            row.role,
            row.vms,
            row.bytes_s,
            row.most_bytes_s,
            row.exchanges_s,
            row.cpu_us_s,
            row.state_bytes,
            row.store_calls_s,
            row.scale
        );
    }
    println!();
    println!(
        "{:<32} {:>16} {:>16} {:>10}",
        "role", "B/s per vm", "us/s per vm", "exponent"
    );
    for slope in slopes {
        println!(
            "{:<32} {:>16.3} {:>16.3} {:>10.2}",
            slope.role, slope.bytes_s_per_vm, slope.cpu_us_s_per_vm, slope.bytes_exponent
        );
    }
}
