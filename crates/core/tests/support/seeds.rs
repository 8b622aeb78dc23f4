//! Number of seeds that a randomised test runs.

/// Returns the value of the environment variable `JUJUBEBEAM_SEEDS`, or `default` if it is not set.
/// A longer search: `JUJUBEBEAM_SEEDS=5000 cargo test --release -p jujubebeam-core`.
pub(crate) fn count(default: u64) -> u64 {
    let value = std::env::var("JUJUBEBEAM_SEEDS").ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}
