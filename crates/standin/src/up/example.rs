//! The example fleet: three zones, six vms, ten engines and three plain services.

use std::net::{Ipv4Addr, SocketAddr};

use crate::platform::{Spare, TargetFile};
use jujubebeam_core::VmId;
use jujubebeam_core::settings::KeyHash;
use jujubebeam_vmlist::{ListedState, ListedVm, VmList};

/// Key of the example workspace.
pub(crate) const KEY: &str = "jbk-example-kits-north";
/// Operators' key of the example vms.
pub(crate) const OPERATOR_KEY: &str = "jbo-example-operator";
/// Model that the example engines serve.
pub(crate) const MODEL: &str = "darn-7b";
/// Body of the example chat request.
pub(crate) const CHAT_BODY: &str = r#"{"model":"darn-7b","stream":true,"messages":[{"role":"user","content":"How do I darn a heel in two colours?"}]}"#;
/// Body of the example checkout.
pub(crate) const CHECKOUT_BODY: &str = r#"{"kit":"heel-repair","price_cents":1900}"#;

const ZONES: [&str; 3] = ["brest", "quimper", "lorient"];
const VMS: usize = 6;
const ENGINES: usize = 10;
const SERVICES: usize = 3;
/// One per zone.
const SPARES: usize = 3;
/// Price class of targets that can be ordered.
const SPARE_CLASS: &str = "spot";

/// A vm of the example.
pub(crate) struct Vm {
    /// Number.
    pub(crate) id: VmId,
    /// Zone by name.
    pub(crate) zone: &'static str,
    /// Address for callers.
    pub(crate) caller: SocketAddr,
    /// Address for other vms.
    pub(crate) peer: SocketAddr,
    /// Relay of connections from other vms.
    peer_relay: SocketAddr,
    /// Relay of connections to the platform.
    platform_relay: SocketAddr,
}

/// A target of the example.
pub(crate) struct Target {
    /// Name.
    pub(crate) name: String,
    /// Zone by name.
    pub(crate) zone: &'static str,
    /// Address.
    pub(crate) address: SocketAddr,
}

/// Addresses of all processes.
pub(crate) struct Layout {
    /// The platform's services.
    pub(crate) platform: SocketAddr,
    /// The vms.
    pub(crate) vms: Vec<Vm>,
    /// The engines.
    pub(crate) engines: Vec<Target>,
    /// The plain services.
    pub(crate) services: Vec<Target>,
    /// Engines that can be ordered.
    pub(crate) spares: Vec<Target>,
    /// Control address of the relay.
    pub(crate) relay: SocketAddr,
    /// Whether the vms use the relay.
    pub(crate) relays: bool,
    /// Length of a usage window.
    pub(crate) usage_window_s: Option<u64>,
}

impl Layout {
    /// Assigns ports from `base_port` on.
    pub(crate) fn new(base_port: u16) -> Self {
        let mut next = base_port;
        let mut address = || {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, next));
            next += 1;
            address
        };
        let platform = address();
        let mut vms: Vec<_> = (0..VMS)
            .map(|i| Vm {
                id: VmId(i as u32 + 1),
                zone: ZONES[i % ZONES.len()],
                caller: address(),
                peer: address(),
                peer_relay: platform,
                platform_relay: platform,
            })
            .collect();
        let mut targets = |prefix: &str, count: usize| {
            (0..count)
                .map(|i| Target {
                    name: format!("{prefix}-{}", i + 1),
                    zone: ZONES[i % ZONES.len()],
                    address: address(),
                })
                .collect()
        };
        let engines = targets("advice", ENGINES);
        let services = targets("checkout", SERVICES);
        let spares = targets("spare", SPARES);
        let relay = address();
        for vm in &mut vms {
            vm.peer_relay = address();
            vm.platform_relay = address();
        }
        Self {
            platform,
            vms,
            engines,
            services,
            spares,
            relay,
            relays: false,
            usage_window_s: None,
        }
    }

    /// The platform's vm list.
    pub(crate) fn vm_list(&self) -> VmList {
        let vms = self.vms.iter().map(|vm| ListedVm {
            vm: vm.id,
            zone: vm.zone.into(),
            caller_address: vm.caller.to_string(),
            peer_address: self.peer_address(vm).to_string(),
            state: ListedState::Live,
        });
        VmList { vms: vms.collect() }
    }

    /// Address that other vms use.
    fn peer_address(&self, vm: &Vm) -> SocketAddr {
        if self.relays { vm.peer_relay } else { vm.peer }
    }

    /// Links of the relay.
    pub(crate) fn links(&self) -> Vec<String> {
        let links = self.vms.iter().flat_map(|vm| {
            [
                format!("peer,{},{},{}", vm.id, vm.peer_relay, vm.peer),
                format!("platform,{},{},{}", vm.id, vm.platform_relay, self.platform),
            ]
        });
        links.collect()
    }

    /// Targets that can be ordered. Those that always exist are named in the settings.
    pub(crate) fn target_file(&self) -> TargetFile {
        let spares = self.spares.iter().map(|spare| Spare {
            address: spare.address.to_string(),
            zone: spare.zone.into(),
            class: SPARE_CLASS.into(),
        });
        TargetFile {
            targets: Vec::new(),
            spares: spares.collect(),
        }
    }

    /// Settings subtrees as pairs of store key and YAML text.
    pub(crate) fn settings(&self) -> Vec<(String, String)> {
        vec![
            (jujubebeam_operator::FLEET_KEY.into(), self.fleet_settings()),
            (
                format!("{}north", jujubebeam_operator::TEAMS_PREFIX),
                team_settings(),
            ),
        ]
    }

    /// Settings file of one vm.
    pub(crate) fn process_settings(&self, vm: &Vm) -> String {
        let platform = match self.relays {
            true => vm.platform_relay,
            false => self.platform,
        };
        let window = self
            .usage_window_s
            .map(|s| format!("usage_window_s: {s}\n"));
        let window = window.unwrap_or_default();
        let operators = KeyHash::of_key(OPERATOR_KEY).to_hex();
        format!(
            "vm: {}\nzone: {}\ncaller_address: {}\npeer_address: {}\npeer_listen_address: {}\n\
             operator_key_sha256: {operators}\n{window}platform:\n  \
             store: {platform}\n  vm_list: {platform}\n  ordering: {platform}\n  \
             usage: {platform}\n  weights: {platform}\n",
            vm.id,
            vm.zone,
            vm.caller,
            self.peer_address(vm),
            vm.peer
        )
    }

    /// Text that tells a person what to try.
    pub(crate) fn instructions(&self) -> String {
        let mut text = String::from("Entry vms:\n");
        for vm in &self.vms {
            text.push_str(&format!("  http://{} in zone {}\n", vm.caller, vm.zone));
        }
        let first = self.vms[0].caller;
        text.push_str(&format!(
            "\nTry:\n  curl 'http://{first}/v1/addresses?zone=brest'\n  \
             curl -N http://{first}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \
             -d '{CHAT_BODY}'\n  \
             curl http://{first}/checkout/orders -H 'Authorization: Bearer {KEY}' \
             -H 'Idempotency-Key: order-1' -d '{CHECKOUT_BODY}'\n\nAs an operator:\n  \
             export JUJUBEBEAM_ADDRESS={first} JUJUBEBEAM_OPERATOR_KEY={OPERATOR_KEY}\n  \
             cargo run --release -p jujubebeam -- status\n\nCtrl-C stops everything.\n"
        ));
        text
    }

    fn fleet_settings(&self) -> String {
        let mut text = format!("zones: [{}]\n", ZONES.join(", "));
        text.push_str(&format!(
            "routes:\n  - name: advice\n    kind: engine\n    \
             path_prefix: /v1/chat/completions\n    models: [{MODEL}]\n    group: advice\n  \
             - name: checkout\n    kind: service\n    path_prefix: /checkout\n    \
             group: checkout\n"
        ));
        text.push_str("groups:\n");
        push_group(&mut text, "advice", "engine", &self.engines);
        push_group(&mut text, "checkout", "service", &self.services);
        text.push_str(&format!(
            "ordering:\n  checks_fencing: true\n  classes:\n    - {{name: {SPARE_CLASS}, \
             price_cents_per_hour: 90, reclaimable: true, start_s: 3}}\n"
        ));
        text
    }
}

fn push_group(text: &mut String, name: &str, kind: &str, targets: &[Target]) {
    text.push_str(&format!(
        "  - name: {name}\n    kind: {kind}\n    checks_fencing: true\n    targets:\n"
    ));
    for target in targets {
        text.push_str(&format!(
            "      - {{name: {}, address: \"{}\", zone: {}}}\n",
            target.name, target.address, target.zone
        ));
    }
}

fn team_settings() -> String {
    let hash = KeyHash::of_key(KEY).to_hex();
    format!(
        "workspaces:\n  - name: kits-north\n    priority: interactive\n    keys:\n      \
         - {{name: first, sha256: {hash}}}\n"
    )
}
