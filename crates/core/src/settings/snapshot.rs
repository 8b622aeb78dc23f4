//! The settings in force, compiled for lookups on the request path.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use super::document::{
    AccessRule, FleetDocument, KeyState, LimitsDocument, PlannedChangeDocument, Priority,
    SpendingDocument, TargetKind, TeamDocument,
};
use crate::targets::Role;
use crate::{RouteId, TargetId, WorkspaceId, ZoneId};

/// SHA-256 of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key in the form that callers send.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the hexadecimal form that settings contain.
    pub fn parse(hex: &str) -> Option<Self> {
        if hex.len() != 64 || !hex.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }

    /// Hexadecimal form for settings.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The first bytes distinguish keys in logs without revealing the whole hash.
        write!(f, "KeyHash({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

/// Who may use a route.
pub type Access = AccessRule;

/// Workspace and state of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Workspace that the key acts for.
    pub workspace: WorkspaceId,
    /// State of the key.
    pub state: KeyState,
}

/// A compiled route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Number of the route.
    pub id: RouteId,
    /// Position of the group in [`Snapshot::groups`].
    pub group: usize,
    /// The settings of the route.
    pub settings: super::document::RouteDocument,
}

impl RouteSpec {
    /// True if requests with this method may be retried.
    pub fn is_repeatable(&self, method: &str) -> bool {
        if self.settings.kind == TargetKind::Engine {
            return true;
        }
        self.settings
            .repeatable_methods
            .iter()
            .any(|m| m.eq_ignore_ascii_case(method))
    }
}

/// A compiled group of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSpec {
    /// Name of the group.
    pub name: String,
    /// Kind of the targets.
    pub kind: TargetKind,
    /// Whether the targets refuse orders with an old fencing token.
    pub checks_fencing: bool,
    /// Targets of the group that the settings list.
    pub targets: Vec<TargetId>,
    /// Smallest number of targets in the group.
    pub min_targets: u32,
    /// Largest number of targets in the group.
    pub max_targets: u32,
}

/// A compiled target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Key of the target.
    pub id: TargetId,
    /// Name of the target.
    pub name: String,
    /// `ip:port` of the target.
    pub address: String,
    /// Zone of the target.
    pub zone: ZoneId,
    /// Position of the group in [`Snapshot::groups`].
    pub group: usize,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Price class; empty for a target that is not ordered.
    pub class: String,
    /// Whether the platform may withdraw the target at any time.
    pub reclaimable: bool,
    /// Whether the target is to be drained.
    pub leaving: bool,
    /// Role that operators set for the target.
    pub desired_role: Option<Role>,
}

/// A compiled workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Key of the workspace.
    pub id: WorkspaceId,
    /// `team/workspace`.
    pub name: String,
    /// Priority of the workspace's requests.
    pub priority: Priority,
    /// Share within the priority.
    pub weight: u32,
    /// Routes that the workspace may use; empty means all.
    pub routes: SmallVec<[RouteId; 4]>,
    /// Models that the workspace may use; empty means all.
    pub models: SmallVec<[String; 2]>,
    /// Limits on use.
    pub limits: LimitsDocument,
    /// Rules for ordering capacity.
    pub spending: SpendingDocument,
    /// Rule for planned changes.
    pub planned_change: PlannedChangeDocument,
}

impl WorkspaceSpec {
    /// True if the workspace may use the route.
    pub fn may_use_route(&self, route: RouteId) -> bool {
        self.routes.is_empty() || self.routes.contains(&route)
    }

    /// True if the workspace may use the model.
    pub fn may_use_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|m| m == model)
    }
}

/// A reference in the settings that does not resolve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// A route names a group that does not exist.
    UnknownGroup {
        /// Name of the route.
        route: String,
        /// Name of the group.
        group: String,
    },
    /// A target names a zone that does not exist.
    UnknownZone {
        /// Name of the target.
        target: String,
        /// Name of the zone.
        zone: String,
    },
    /// A workspace names a route that does not exist.
    UnknownRoute {
        /// `team/workspace`.
        workspace: String,
        /// Name of the route.
        route: String,
    },
    /// A key hash is not 64 hexadecimal digits.
    BadKeyHash {
        /// `team/workspace`.
        workspace: String,
        /// Name of the key.
        key: String,
    },
    /// Two workspaces have the same key.
    DuplicateKey {
        /// `team/workspace` that repeats the key.
        workspace: String,
        /// Name of the key.
        key: String,
    },
    /// Two targets have the same name, or names with the same id.
    DuplicateTarget {
        /// Name of the second target.
        target: String,
    },
    /// Two workspaces have the same name, or names with the same id.
    DuplicateWorkspace {
        /// `team/workspace` of the second one.
        workspace: String,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownGroup { route, group } => write!(
                f,
                "route {route:?} names group {group:?}, which does not exist; add the group or \
                 correct the name"
            ),
            Self::UnknownZone { target, zone } => write!(
                f,
                "target {target:?} is in zone {zone:?}, which is not in `zones`; add the zone or \
                 correct the name"
            ),
            Self::UnknownRoute { workspace, route } => write!(
                f,
                "workspace {workspace:?} names route {route:?}, which does not exist; correct the \
                 name"
            ),
            Self::BadKeyHash { workspace, key } => write!(
                f,
                "key {key:?} of workspace {workspace:?} is not a SHA-256 of 64 hexadecimal \
                 digits; create it with `jujubebeam key`"
            ),
            Self::DuplicateKey { workspace, key } => write!(
                f,
                "key {key:?} of workspace {workspace:?} is already in use; create another key"
            ),
            Self::DuplicateTarget { target } => {
                write!(f, "target {target:?} exists twice; rename one")
            }
            Self::DuplicateWorkspace { workspace } => {
                write!(f, "workspace {workspace:?} exists twice; rename one")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}

/// All settings in force, compiled from the documents of all subtrees.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Zones by name.
    pub zones: Vec<String>,
    /// Routes in document order.
    pub routes: Vec<RouteSpec>,
    /// Groups in document order.
    pub groups: Vec<GroupSpec>,
    /// Targets that the settings list.
    pub targets: HashMap<TargetId, TargetSpec>,
    /// Workspaces of all teams.
    pub workspaces: HashMap<WorkspaceId, WorkspaceSpec>,
    /// Keys of all workspaces.
    pub keys: HashMap<KeyHash, KeyGrant>,
    /// The fleet document.
    pub fleet: FleetDocument,
}

impl Snapshot {
    /// Compiles documents. `teams` holds pairs of team name and document.
    pub fn compile(
        fleet: &FleetDocument,
        teams: &[(String, TeamDocument)],
    ) -> Result<Self, SnapshotError> {
        let mut snapshot = Self {
            zones: fleet.zones.clone(),
            fleet: fleet.clone(),
            ..Self::default()
        };
        snapshot.add_groups(fleet)?;
        snapshot.add_routes(fleet)?;
        for (team, document) in teams {
            snapshot.add_team(team, document)?;
        }
        Ok(snapshot)
    }

    /// Number of a zone by name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        let position = self.zones.iter().position(|z| z == name)?;
        Some(ZoneId(position as u16))
    }

    /// Route with the longest prefix of `path`. A prefix ends at a path segment.
    pub fn route_for_path(&self, path: &str) -> Option<&RouteSpec> {
        self.routes
            .iter()
            .filter(|r| prefix_matches(&r.settings.path_prefix, path))
            .max_by_key(|r| r.settings.path_prefix.len())
    }

    /// Route of engines that serves a model below a path.
    pub fn route_for_model(&self, path: &str, model: &str) -> Option<&RouteSpec> {
        self.routes.iter().find(|r| {
            r.settings.kind == TargetKind::Engine
                && prefix_matches(&r.settings.path_prefix, path)
                && r.settings.models.iter().any(|m| m == model)
        })
    }

    fn add_groups(&mut self, fleet: &FleetDocument) -> Result<(), SnapshotError> {
        for (position, group) in fleet.groups.iter().enumerate() {
            let mut ids = Vec::with_capacity(group.targets.len());
            for target in &group.targets {
                let zone = self
                    .zone(&target.zone)
                    .ok_or_else(|| SnapshotError::UnknownZone {
                        target: target.name.clone(),
                        zone: target.zone.clone(),
                    })?;
                let id = target_id(&target.name);
                let class = fleet
                    .ordering
                    .classes
                    .iter()
                    .find(|c| c.name == target.class);
                let spec = TargetSpec {
                    id,
                    name: target.name.clone(),
                    address: target.address.clone(),
                    zone,
                    group: position,
                    kind: group.kind,
                    class: target.class.clone(),
                    reclaimable: class.is_some_and(|c| c.reclaimable),
                    leaving: target.leaving,
                    desired_role: target.role,
                };
                if self.targets.insert(id, spec).is_some() {
                    return Err(SnapshotError::DuplicateTarget {
                        target: target.name.clone(),
                    });
                }
                ids.push(id);
            }
            self.groups.push(GroupSpec {
                name: group.name.clone(),
                kind: group.kind,
                checks_fencing: group.checks_fencing,
                targets: ids,
                min_targets: group.min_targets,
                max_targets: group.max_targets,
            });
        }
        Ok(())
    }

    fn add_routes(&mut self, fleet: &FleetDocument) -> Result<(), SnapshotError> {
        for (position, route) in fleet.routes.iter().enumerate() {
            let group = fleet
                .groups
                .iter()
                .position(|g| g.name == route.group)
                .ok_or_else(|| SnapshotError::UnknownGroup {
                    route: route.name.clone(),
                    group: route.group.clone(),
                })?;
            self.routes.push(RouteSpec {
                id: RouteId(position as u16),
                group,
                settings: route.clone(),
            });
        }
        Ok(())
    }

    fn add_team(&mut self, team: &str, document: &TeamDocument) -> Result<(), SnapshotError> {
        for workspace in &document.workspaces {
            let name = format!("{team}/{}", workspace.name);
            let id = workspace_id(team, &workspace.name);
            let mut routes = SmallVec::new();
            for route in &workspace.routes {
                let found = self
                    .routes
                    .iter()
                    .find(|r| r.settings.name == *route)
                    .ok_or_else(|| SnapshotError::UnknownRoute {
                        workspace: name.clone(),
                        route: route.clone(),
                    })?;
                routes.push(found.id);
            }
            for key in &workspace.keys {
                let hash =
                    KeyHash::parse(&key.sha256).ok_or_else(|| SnapshotError::BadKeyHash {
                        workspace: name.clone(),
                        key: key.name.clone(),
                    })?;
                let grant = KeyGrant {
                    workspace: id,
                    state: key.state,
                };
                if self.keys.insert(hash, grant).is_some() {
                    return Err(SnapshotError::DuplicateKey {
                        workspace: name,
                        key: key.name.clone(),
                    });
                }
            }
            let spec = WorkspaceSpec {
                id,
                name: name.clone(),
                priority: workspace.priority,
                weight: workspace.weight.max(1),
                routes,
                models: workspace.models.iter().cloned().collect(),
                limits: workspace.limits.clone(),
                spending: workspace.spending.clone(),
                planned_change: workspace.planned_change.clone(),
            };
            if self.workspaces.insert(id, spec).is_some() {
                return Err(SnapshotError::DuplicateWorkspace { workspace: name });
            }
        }
        Ok(())
    }
}

/// Key of a workspace, the same on every vm.
pub fn workspace_id(team: &str, workspace: &str) -> WorkspaceId {
    WorkspaceId(short_hash(&format!("{team}/{workspace}")))
}

/// Key of a target, the same on every vm.
pub fn target_id(name: &str) -> TargetId {
    TargetId(short_hash(name))
}

fn short_hash(text: &str) -> u64 {
    let digest: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
