//! Software versions that the targets of each service have had recently.
//!
//! A stream may only go on at the version that began it. If a service has had a single version for
//! longer than a stream lasts, that version began all its streams, and nothing needs to be known of
//! each. The store keeps the versions, because a vm that starts sees only those of today. See
//! `docs/incidents/joined-versions.md`.
//!
//! What the store has is only a proof if it is written before it is needed. A vm therefore begins no
//! stream at a version that the store does not name. Once it names a second one, each vm records in the
//! store that it uses them before it does, except for the first one, which all vms may have used until
//! then. See `docs/incidents/out-of-step-vm.md`.
//!
//! The same holds for the assignment of a route to its services. If it has changed recently, nothing is
//! concluded of the streams of the route from the assignment of today. See
//! `docs/incidents/refused-continuations.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::catalog::CatalogTarget;
use super::settings::{GatewaySettings, HostRoute, RequestKind};

/// Key of the versions in the store.
pub const SOFTWARE_VERSIONS_KEY: &str = "versions/services";

/// Shortest time for which a stream is expected to go on.
pub const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Number of attempts at a stream that a caller is expected to make, each of which may last until its
/// route's timeout.
const ATTEMPTS: u32 = 4;

/// Most routes whose assignments are all stored, with some dozen bytes each. Beyond that, a vm that starts
/// does not know assignments that changed while no vm ran.
const MAX_STORED_ROUTES: usize = 2000;

/// Name of unknown versions, which no entry of a target can have.
const UNKNOWN: &str = "";

/// Longest time for which a stream goes on, with all attempts of its caller.
pub fn stream_lifetime(settings: &GatewaySettings) -> Duration {
    let streams = settings.routes.iter();
    let timeouts = streams.filter(|route| route.kind == RequestKind::Stream);
    let timeouts = timeouts.map(|route| route.timeout.saturating_mul(ATTEMPTS));
    timeouts.fold(MIN_STREAM_LIFETIME, Duration::max)
}

/// Versions of each service as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersions {
    services: BTreeMap<String, Vec<String>>,
    /// The version that was the only one before others were added. Vms that have recorded no use have
    /// used no other one. Vms of earlier versions do not write it.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    base: BTreeMap<String, String>,
    /// Recent assignments of each route. Vms of earlier versions do not read them, and remove them when
    /// they write.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    routes: BTreeMap<String, Vec<String>>,
}

impl StoredVersions {
    /// Versions of a service.
    pub fn of(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a service has several versions, or a route several assignments.
    pub fn is_any_mixed(&self) -> bool {
        let mut alternatives = self.services.values().chain(self.routes.values());
        alternatives.any(|alternatives| alternatives.len() > 1)
    }

    /// The versions, without the routes.
    pub fn services(&self) -> &BTreeMap<String, Vec<String>> {
        &self.services
    }

    /// Number of routes whose assignments are stored.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether a route has several assignments.
    pub fn is_route_mixed(&self, route: &str) -> bool {
        self.routes
            .get(route)
            .is_some_and(|assignments| assignments.len() > 1)
    }

    /// The version that vms without a record have used, if it is known.
    pub fn base(&self, service: &str) -> Option<&str> {
        self.base.get(service).map(String::as_str)
    }

    /// The base of a service whose versions are replaced by `wanted`.
    fn next_base(&self, service: &str, wanted: &[String], was_mixed: bool) -> Option<String> {
        let kept = self.base.get(service).filter(|base| wanted.contains(base));
        let base = match (self.of(service), wanted) {
            (_, [only]) => Some(only),
            // A store that was restored has lost the records of the others.
            ([_], _) if was_mixed => None,
            ([only], _) if wanted.contains(only) => Some(only),
            _ => kept,
        };
        base.cloned()
    }
}

/// Versions of each service that a vm has recorded to use.
pub type UsedVersions = BTreeMap<String, Vec<String>>;

/// What a vm knows of one version of a service, or of one assignment of a route.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    /// Since when no target of the version has been in the catalog, or the assignment not been in force.
    absent_since: Option<Duration>,
    /// Whether this vm has seen it itself.
    is_witnessed: bool,
}

impl Sighting {
    const PRESENT: Self = Self {
        absent_since: None,
        is_witnessed: true,
    };
}

/// Alternatives by the name of what has them: versions by service, or assignments by route.
#[derive(Debug, Default)]
struct Sightings(BTreeMap<String, BTreeMap<String, Sighting>>);

impl Sightings {
    /// Records that no alternative exists now, until it is seen again.
    fn mark_all_absent(&mut self, now: Duration) {
        for sighting in self.0.values_mut().flat_map(BTreeMap::values_mut) {
            sighting.absent_since.get_or_insert(now);
        }
    }

    /// Records that an alternative exists now.
    fn mark_present(&mut self, name: &str, alternative: &str) {
        let known = match self.0.get_mut(name) {
            Some(known) => known,
            None => self.0.entry(name.to_owned()).or_default(),
        };
        match known.get_mut(alternative) {
            Some(sighting) => *sighting = Sighting::PRESENT,
            None => {
                known.insert(alternative.to_owned(), Sighting::PRESENT);
            }
        }
    }

    /// Merges stored alternatives, and keeps those that another vm has removed from the store.
    fn merge_kept(
        &mut self,
        stored: &BTreeMap<String, Vec<String>>,
        lifetime: Duration,
        now: Duration,
    ) {
        for (name, known) in &mut self.0 {
            let stored = stored.get(name);
            known.retain(|alternative, sighting| {
                let is_stored = stored.is_some_and(|stored| stored.contains(alternative));
                is_stored || sighting.is_recent(lifetime, now)
            });
        }
        self.0.retain(|_, known| !known.is_empty());
        self.add_stored(stored, now);
    }

    /// Merges stored alternatives. Those that this vm has not seen itself count from now.
    fn merge(&mut self, stored: &BTreeMap<String, Vec<String>>, lifetime: Duration, now: Duration) {
        for (name, known) in &mut self.0 {
            let stored = stored.get(name);
            known.retain(|alternative, sighting| {
                let is_own = sighting.is_witnessed && sighting.is_recent(lifetime, now);
                is_own || stored.is_some_and(|stored| stored.contains(alternative))
            });
        }
        self.0.retain(|_, known| !known.is_empty());
        self.add_stored(stored, now);
    }

    fn add_stored(&mut self, stored: &BTreeMap<String, Vec<String>>, now: Duration) {
        for (name, stored) in stored {
            let known = self.0.entry(name.clone()).or_default();
            for alternative in stored {
                known.entry(alternative.clone()).or_insert(Sighting {
                    absent_since: Some(now),
                    is_witnessed: false,
                });
            }
        }
    }

    /// Alternatives of one name that may have begun a stream which still goes on.
    fn recent(&self, name: &str, lifetime: Duration, now: Duration) -> impl Iterator<Item = &str> {
        let known = self.0.get(name).into_iter().flatten();
        let recent = known.filter(move |(_, sighting)| sighting.is_recent(lifetime, now));
        recent.map(|(alternative, _)| alternative.as_str())
    }

    /// All such alternatives that are included.
    fn all_recent(
        &self,
        lifetime: Duration,
        now: Duration,
        is_included: impl Fn(&Sighting) -> bool,
    ) -> BTreeMap<String, Vec<String>> {
        let all = self.0.iter().map(|(name, known)| {
            let recent = known
                .iter()
                .filter(|(_, sighting)| sighting.is_recent(lifetime, now) && is_included(sighting));
            let recent: Vec<_> = recent.map(|(alternative, _)| alternative.clone()).collect();
            (name.clone(), recent)
        });
        all.filter(|(_, recent)| !recent.is_empty()).collect()
    }
}

/// Name of a route in the store, which it keeps when its settings change.
pub fn route_key(route: &HostRoute) -> String {
    format!("{}{}", route.host, route.path_prefix)
}

/// Separates the services of an assignment.
const SERVICE_SEPARATOR: char = ',';

/// Separates a service and its weight in an assignment.
const WEIGHT_SEPARATOR: char = '*';

/// The services of a route with their weights. They determine the service of a stream by the id of the
/// attempt that began it.
fn assignment(route: &HostRoute) -> String {
    let shares = route.services.iter().filter(|share| share.weight > 0);
    let shares = shares.map(|share| format!("{}{WEIGHT_SEPARATOR}{}", share.service, share.weight));
    shares
        .collect::<Vec<_>>()
        .join(&SERVICE_SEPARATOR.to_string())
}

/// Services of an assignment.
fn services_of(assignment: &str) -> impl Iterator<Item = &str> {
    let shares = assignment.split(SERVICE_SEPARATOR);
    shares.map(|share| match share.rsplit_once(WEIGHT_SEPARATOR) {
        Some((service, _)) => service,
        None => share,
    })
}

/// The route with the longest prefix of a path, as for requests.
fn longest_match<'a, T>(
    routes: &'a BTreeMap<String, T>,
    path: &str,
) -> Option<(&'a String, &'a T)> {
    let matching = routes.iter().filter(|(key, _)| path.starts_with(*key));
    matching.max_by_key(|(key, _)| key.len())
}

/// Versions of each service that may have begun a stream that still goes on.
#[derive(Debug)]
pub struct SoftwareVersions {
    /// Longest time for which a stream goes on, with all attempts of its caller.
    stream_lifetime: Duration,
    services: Sightings,
    routes: Sightings,
    /// Assignments of the settings in force.
    current_routes: BTreeMap<String, String>,
    /// Whether the stored versions have been read.
    is_complete: bool,
    /// What the store was last known to have.
    named: StoredVersions,
    /// What this vm has recorded in the store.
    recorded: UsedVersions,
    fleet: RecordingFleet,
}

/// Whether the vms of the fleet record the versions that they use.
#[derive(Clone, Copy, Debug)]
enum RecordingFleet {
    /// The list of vms has not been read.
    Unknown,
    /// All vms do.
    All,
    /// A vm of an earlier version was last listed at this time.
    NotAll { listed_at: Duration },
}

impl SoftwareVersions {
    /// Creates a state that knows no version.
    pub fn new(stream_lifetime: Duration) -> Self {
        Self {
            stream_lifetime,
            services: Sightings::default(),
            routes: Sightings::default(),
            current_routes: BTreeMap::new(),
            is_complete: false,
            named: StoredVersions::default(),
            recorded: UsedVersions::new(),
            fleet: RecordingFleet::Unknown,
        }
    }

    /// Whether a stream may begin at a version: what the store has allows other vms to conclude that it
    /// did.
    pub fn may_begin(&self, service: &str, version: &str) -> bool {
        let named = self.named.of(service);
        let is_recorded = || {
            let recorded = self.recorded.get(service);
            recorded.is_some_and(|versions| versions.iter().any(|used| used == version))
        };
        named.iter().any(|known| known == version)
            && (named.len() == 1 || self.named.base(service) == Some(version) || is_recorded())
    }

    /// Versions at which streams may begin, unless all that exist now are among them.
    pub fn restricted(&self, service: &str) -> Option<Vec<String>> {
        let versions = self.services.0.get(service)?;
        let mut present = versions
            .iter()
            .filter(|(_, known)| known.absent_since.is_none());
        present
            .any(|(version, _)| !self.may_begin(service, version))
            .then(|| {
                let names = versions.keys();
                let allowed = names.filter(|version| self.may_begin(service, version));
                allowed.cloned().collect()
            })
    }

    /// Records a reading of the list of vms: whether all of them record the versions that they use.
    pub fn observe_fleet(&mut self, all_record: bool, now: Duration) {
        self.fleet = match (all_record, self.fleet) {
            (false, _) => RecordingFleet::NotAll { listed_at: now },
            (true, RecordingFleet::Unknown) => RecordingFleet::All,
            (true, known) => known,
        };
    }

    /// Whether each vm that may have begun a stream which still goes on records the versions that it
    /// uses.
    pub fn all_vms_record(&self, now: Duration) -> bool {
        match self.fleet {
            RecordingFleet::Unknown => false,
            RecordingFleet::All => true,
            RecordingFleet::NotAll { listed_at } => {
                now.saturating_sub(listed_at) >= self.stream_lifetime
            }
        }
    }

    /// The versions that this vm has to record before it uses them.
    pub fn to_record(&self) -> UsedVersions {
        let services = self.named.services.iter();
        let mixed = services.filter(|(_, versions)| versions.len() > 1);
        mixed
            .map(|(service, versions)| (service.clone(), versions.clone()))
            .collect()
    }

    /// Records what the store has of this vm.
    pub fn set_recorded(&mut self, recorded: UsedVersions) {
        self.recorded = recorded;
    }

    /// Records that the stored versions were written. Returns whether they have changed for this vm.
    pub fn set_named(&mut self, named: StoredVersions) -> bool {
        let is_changed = self.named != named;
        self.named = named;
        is_changed
    }

    /// The versions that may have begun a stream that still goes on, as far as this vm knows.
    pub fn known(&self, now: Duration) -> StoredVersions {
        self.recent_versions(now, |_| true)
    }

    /// Records the targets that exist now. Returns whether the stored versions may have to change.
    pub fn observe<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a CatalogTarget>,
        now: Duration,
    ) -> bool {
        let before = self.own_versions(now);
        self.services.mark_all_absent(now);
        for target in targets {
            let version = target.version.as_deref().unwrap_or(UNKNOWN);
            self.services.mark_present(&target.service, version);
        }
        before != self.own_versions(now)
    }

    /// Records the assignments of the routes that the settings have now. Returns whether what is stored
    /// may have to change.
    pub fn observe_routes(&mut self, settings: &GatewaySettings, now: Duration) -> bool {
        let streams = settings.routes.iter();
        let streams = streams.filter(|route| route.kind == RequestKind::Stream);
        let routes: BTreeMap<_, _> = streams
            .map(|route| (route_key(route), assignment(route)))
            .collect();
        if routes == self.current_routes {
            return false;
        }
        let lifetime = self.stream_lifetime;
        let mut before = self.routes.all_recent(lifetime, now, |_| true);
        before.retain(|key, _| self.current_routes.contains_key(key));
        self.routes.mark_all_absent(now);
        for (key, assignment) in &routes {
            self.routes.mark_present(key, assignment);
        }
        self.current_routes = routes;
        self.record_rematched(&before, now);
        true
    }

    /// Records the assignments of paths that match another route than before, because a route with a
    /// longer prefix was added or removed.
    fn record_rematched(&mut self, before: &BTreeMap<String, Vec<String>>, now: Duration) {
        let after = &self.current_routes;
        let added = after.keys().filter(|key| !before.contains_key(*key));
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        for key in added.chain(removed) {
            let (Some((_, previous)), Some((route, current))) =
                (longest_match(before, key), longest_match(after, key))
            else {
                continue;
            };
            let known = self.routes.0.entry(route.clone()).or_default();
            for assignment in previous.iter().filter(|previous| *previous != current) {
                known.insert(
                    assignment.clone(),
                    Sighting {
                        absent_since: Some(now),
                        is_witnessed: true,
                    },
                );
            }
        }
    }

    /// Whether the assignment of a route was another one when a stream may have begun that still goes on.
    pub fn is_route_mixed(&self, route: &str, now: Duration) -> bool {
        let lifetime = self.stream_lifetime;
        self.routes.recent(route, lifetime, now).nth(1).is_some()
    }

    /// Services of routes whose assignment has changed recently.
    pub fn services_of_mixed_routes(&self, now: Duration) -> BTreeSet<String> {
        let routes = self.mixed_routes(now);
        let assignments = routes.values().flatten();
        let services = assignments.flat_map(|assignment| services_of(assignment));
        services.map(str::to_owned).collect()
    }

    fn mixed_routes(&self, now: Duration) -> BTreeMap<String, Vec<String>> {
        let lifetime = self.stream_lifetime;
        let mut routes = self.routes.all_recent(lifetime, now, |_| true);
        routes.retain(|_, assignments| assignments.len() > 1);
        routes
    }

    /// The assignments that the store should have: those that this vm has seen itself, and those that it
    /// has already. All of them are needed by vms that start after a change, but a value of the store is
    /// bounded.
    fn wanted_routes(
        &self,
        stored: &StoredVersions,
        now: Duration,
    ) -> BTreeMap<String, Vec<String>> {
        // All vms with the same settings decide alike.
        let mut routes = match self.current_routes.len() > MAX_STORED_ROUTES {
            true => self.mixed_routes(now),
            false => self.routes.all_recent(self.stream_lifetime, now, |_| true),
        };
        for (key, assignments) in &mut routes {
            let stored = stored.routes.get(key);
            let known = self.routes.0.get(key);
            assignments.retain(|assignment| {
                let is_witnessed = known
                    .and_then(|known| known.get(assignment))
                    .is_some_and(|sighting| sighting.is_witnessed);
                is_witnessed || stored.is_some_and(|stored| stored.contains(assignment))
            });
        }
        routes.retain(|_, assignments| !assignments.is_empty());
        routes
    }

    /// Sets the longest time for which a stream goes on, with all attempts of its caller.
    pub fn set_stream_lifetime(&mut self, lifetime: Duration) {
        self.stream_lifetime = lifetime;
    }

    /// Longest time for which a stream goes on, with all attempts of its caller.
    pub fn stream_lifetime(&self) -> Duration {
        self.stream_lifetime
    }

    /// Merges the stored versions. Those that this vm has not seen itself may have begun streams
    /// until now. Returns what the store should have instead, if that differs.
    pub fn merge(&mut self, stored: &StoredVersions, now: Duration) -> Option<StoredVersions> {
        let is_first = !mem::replace(&mut self.is_complete, true);
        let lifetime = self.stream_lifetime;
        self.services.merge(&stored.services, lifetime, now);
        self.routes.merge_kept(&stored.routes, lifetime, now);
        if is_first {
            // Routes may have been added or removed while no vm ran.
            self.record_rematched(&stored.routes, now);
        }
        let mut wanted = self.recent_versions(now, |_| true);
        wanted.routes = self.wanted_routes(stored, now);
        for (service, versions) in &wanted.services {
            let was_mixed = self.named.of(service).len() > 1;
            if let Some(base) = stored.next_base(service, versions, was_mixed) {
                wanted.base.insert(service.clone(), base);
            }
        }
        self.set_named(stored.clone());
        (wanted != *stored).then_some(wanted)
    }

    /// The version that began all streams of a service which still go on, if there is only one.
    pub fn only_version(&self, service: &str, now: Duration) -> Option<&str> {
        let mut recent = self.recent(service, now);
        let only = recent.next().filter(|_| self.is_complete)?;
        (recent.next().is_none() && only != UNKNOWN).then_some(only)
    }

    /// Whether more than one version may have begun the streams of a service.
    pub fn is_mixed(&self, service: &str, now: Duration) -> bool {
        self.recent(service, now).nth(1).is_some()
    }

    fn recent(&self, service: &str, now: Duration) -> impl Iterator<Item = &str> {
        self.services.recent(service, self.stream_lifetime, now)
    }

    /// The recent versions that this vm has seen itself.
    fn own_versions(&self, now: Duration) -> StoredVersions {
        self.recent_versions(now, |known| known.is_witnessed)
    }

    fn recent_versions(
        &self,
        now: Duration,
        is_included: impl Fn(&Sighting) -> bool,
    ) -> StoredVersions {
        let lifetime = self.stream_lifetime;
        StoredVersions {
            services: self.services.all_recent(lifetime, now, is_included),
            base: BTreeMap::new(),
            routes: self.mixed_routes(now),
        }
    }
}

impl Sighting {
    /// Whether the version may have begun a stream that still goes on.
    fn is_recent(&self, stream_lifetime: Duration, now: Duration) -> bool {
        let absent_since = self.absent_since;
        absent_since.is_none_or(|since| now.saturating_sub(since) < stream_lifetime)
    }
}
