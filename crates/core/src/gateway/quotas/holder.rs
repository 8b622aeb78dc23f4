//! What a vm may spend without asking a home: a lease, or its share while no home answers.

use std::time::Duration;

use super::{QuotaConfig, WorkspaceQuota};
use crate::VmId;

/// Tokens that a home has granted in advance.
#[derive(Clone, Copy, Debug)]
struct Lease {
    home: VmId,
    /// Quota under which it was granted. A changed quota ends the lease.
    quota: WorkspaceQuota,
    tokens: f64,
    expires_at: Duration,
}

/// State of a workspace at a vm that spends its quota.
#[derive(Debug)]
pub(super) struct Holder {
    lease: Option<Lease>,
    share: f64,
    share_refilled_at: Duration,
    /// Whether the share is in use, because no home answers.
    uses_share: bool,
    used_at: Duration,
}

impl Holder {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            lease: None,
            share: 0.0,
            share_refilled_at: Duration::ZERO,
            uses_share: false,
            used_at: now,
        }
    }

    pub(super) fn last_used(&self) -> Duration {
        self.used_at
    }

    /// Spends tokens of the lease. Returns the home that granted it.
    pub(super) fn spend_lease(
        &mut self,
        quota: WorkspaceQuota,
        tokens: f64,
        now: Duration,
    ) -> Option<VmId> {
        self.used_at = now;
        let lease = self.valid_lease(now)?;
        if lease.quota != quota || lease.tokens < tokens {
            return None;
        }
        lease.tokens -= tokens;
        Some(lease.home)
    }

    /// Stores tokens that a home has granted. They replace those of a lease that ends earlier.
    pub(super) fn store_lease(
        &mut self,
        home: VmId,
        quota: WorkspaceQuota,
        tokens: f64,
        expires_at: Duration,
    ) {
        self.lease = Some(Lease {
            home,
            quota,
            tokens,
            expires_at,
        });
    }

    /// Puts the tokens of a request that did not run back into the lease. Returns whether there is
    /// one of the same home.
    pub(super) fn return_to_lease(&mut self, home: VmId, tokens: f64, now: Duration) -> bool {
        match self.valid_lease(now) {
            Some(lease) if lease.home == home => {
                lease.tokens += tokens;
                true
            }
            _ => false,
        }
    }

    fn valid_lease(&mut self, now: Duration) -> Option<&mut Lease> {
        self.lease.as_mut().filter(|lease| now < lease.expires_at)
    }

    /// Spends tokens of this vm's share.
    ///
    /// # Errors
    ///
    /// Returns the time until the share is expected to suffice.
    pub(super) fn spend_share(
        &mut self,
        quota: WorkspaceQuota,
        tokens: f64,
        vms: usize,
        phase: f64,
        config: &QuotaConfig,
        now: Duration,
    ) -> Result<(), Duration> {
        let rate_per_s = quota.rate_per_s * config.share_ratio / vms.max(1) as f64;
        let size = rate_per_s * config.share_time.as_secs_f64();
        let passed = now.saturating_sub(self.share_refilled_at);
        self.share += passed.as_secs_f64() * rate_per_s;
        // Vms lose their home at the same time. With equal phases they would all send at once.
        self.share = match self.uses_share {
            true => self.share.min(size),
            false => self.share.min(0.0) + size * phase,
        };
        self.uses_share = true;
        self.share_refilled_at = now;
        let missing = tokens.min(size) - self.share;
        if missing > 0.0 {
            let wait_s = missing / rate_per_s.max(f64::MIN_POSITIVE);
            return Err(Duration::from_secs_f64(
                wait_s.min(config.max_wait.as_secs_f64()),
            ));
        }
        self.share -= tokens;
        Ok(())
    }

    /// Records that a home answers again.
    pub(super) fn end_share(&mut self) {
        self.uses_share = false;
    }

    /// Puts the tokens of a request that did not run back into the share.
    pub(super) fn return_to_share(&mut self, tokens: f64) {
        self.share += tokens;
    }
}
