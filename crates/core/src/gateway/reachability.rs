//! Whether this vm reaches the targets of each service.
//!
//! A target that is down and a vm that has lost its links look alike from one attempt. A vm therefore
//! opens connections to several targets as soon as one attempt gives reason to, and counts as cut off
//! from the service if none is established. Connections that are open already prove nothing: they may
//! work while new ones are refused. See `docs/incidents/partitioned-from-targets.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Time without an answer of any target, while requests wait, after which connections are tested. A
/// sound target may be silent for longer, but not all of them.
const SILENCE: Duration = Duration::from_millis(300);

/// Time without an answer after which open connections do not work either.
const DEAD_AFTER: Duration = Duration::from_secs(1);

/// Interval between two tests of a service.
const TEST_INTERVAL: Duration = Duration::from_millis(250);

/// Tests in a row that must succeed before the vm uses its own links again.
const SOUND_TESTS: u32 = 2;

/// Whether the links to the targets of a service work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LinkState {
    /// The targets are reached, or nothing shows the contrary.
    Connected,
    /// No target is reached.
    CutOff,
}

#[derive(Clone, Copy, Debug)]
struct ServiceLinks {
    state: LinkState,
    /// Since when requests have waited without an answer of any target.
    waiting_since: Option<Duration>,
    answered_at: Option<Duration>,
    /// Whether an attempt gives reason to test the links.
    is_suspect: bool,
    tested_at: Option<Duration>,
    /// Tests in a row that have succeeded while the vm is cut off.
    sound_tests: u32,
}

/// Links from this vm to the targets, by service.
#[derive(Debug, Default)]
pub struct Reachability {
    services: BTreeMap<String, ServiceLinks>,
}

impl Reachability {
    /// Records that a request is sent to a target of the service.
    pub fn sent(&mut self, service: &str, now: Duration) {
        let links = self.links(service);
        links.waiting_since.get_or_insert(now);
    }

    /// Records that a target of the service has answered.
    pub fn answered(&mut self, service: &str, now: Duration) {
        let links = self.links(service);
        links.waiting_since = None;
        links.answered_at = Some(now);
    }

    /// Records that a connection to a target could not be established, or broke before the answer.
    pub fn failed(&mut self, service: &str) {
        self.links(service).is_suspect = true;
    }

    /// Whether the vm is cut off from the targets of the service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.state == LinkState::CutOff)
    }

    /// Whether no target of the service has answered lately, over open connections either.
    pub fn is_silent(&self, service: &str, now: Duration) -> bool {
        let links = self.services.get(service);
        let answered_at = links.and_then(|links| links.answered_at);
        answered_at.is_none_or(|at| now.saturating_sub(at) >= DEAD_AFTER)
    }

    /// Services whose links are to be tested now. Each must be followed by [`Self::tested`].
    pub fn start_tests(&mut self, now: Duration) -> Vec<String> {
        let mut due = Vec::new();
        for (service, links) in &mut self.services {
            let waits = links
                .waiting_since
                .is_some_and(|since| now.saturating_sub(since) >= SILENCE);
            let is_needed = waits || links.is_suspect || links.state == LinkState::CutOff;
            let is_rested = links
                .tested_at
                .is_none_or(|at| now.saturating_sub(at) >= TEST_INTERVAL);
            if is_needed && is_rested {
                links.tested_at = Some(now);
                due.push(service.clone());
            }
        }
        due
    }

    /// Records the result of a test: to how many of the targets a connection was established. Returns
    /// the new state if it has changed.
    pub fn tested(
        &mut self,
        service: &str,
        targets: usize,
        reached: usize,
        now: Duration,
    ) -> Option<LinkState> {
        let links = self.links(service);
        links.tested_at = Some(now);
        links.is_suspect = false;
        let before = links.state;
        match (before, reached) {
            // A service without targets says nothing about the links.
            (_, 0) if targets == 0 => {
                links.state = LinkState::Connected;
                links.waiting_since = None;
            }
            (_, 0) => {
                links.state = LinkState::CutOff;
                links.sound_tests = 0;
            }
            (LinkState::Connected, _) => links.waiting_since = None,
            (LinkState::CutOff, _) => {
                links.sound_tests += 1;
                if links.sound_tests >= SOUND_TESTS {
                    links.state = LinkState::Connected;
                    links.waiting_since = None;
                }
            }
        }
        (links.state != before).then_some(links.state)
    }

    /// Forgets services that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| exists(service));
    }

    fn links(&mut self, service: &str) -> &mut ServiceLinks {
        if !self.services.contains_key(service) {
            let links = ServiceLinks {
                state: LinkState::Connected,
                waiting_since: None,
                answered_at: None,
                is_suspect: false,
                tested_at: None,
                sound_tests: 0,
            };
            self.services.insert(service.to_owned(), links);
        }
        self.services
            .get_mut(service)
            .expect("it was just inserted")
    }
}
