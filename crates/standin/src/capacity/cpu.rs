//! Processor time of this process.

/// Processor time of all threads so far, from `/proc`. Ends of threads are included.
pub(crate) fn process_seconds() -> Result<f64, String> {
    /// Linux reports times to user space in units of 1/100 s.
    const TICKS_PER_S: f64 = 100.0;
    let path = "/proc/self/stat";
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    // The second field is the program's name in parentheses and may contain spaces.
    let fields = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks = fields.split(' ').skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_S)
}
