//! Starts and ends the gateways with the command of the deploy file.

use std::fs::{File, create_dir_all};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use crate::http::call;

/// One vm.
pub struct Gateway {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Reserves free ports until the gateways bind them.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    let listeners: Vec<_> = listeners.collect();
    let addresses = listeners
        .iter()
        .map(|l| l.local_addr().expect("an address"));
    addresses.collect()
}

/// Writes the settings of `count` vms, as the template `deploy/vm.yaml` with the bounds of the site
/// stoyanovi-quotes gives them.
pub fn prepare(count: usize, root: &Path, folder: &Path, store: SocketAddr) -> Vec<Gateway> {
    create_dir_all(folder).expect("a temporary folder");
    let addresses = free_addresses(count * 5);
    let seeds = addresses.chunks(5).take(3).map(|a| format!("\"{}\"", a[3]));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let gateways = addresses.chunks(5).enumerate().map(|(number, a)| {
        let name = format!("edge-plovdiv-a-{}", number + 1);
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "vm_name: \"{name}\"\nzone: \"plovdiv-a\"\nlisten:\n  callers: \"{}\"\n  \
             readiness: \"{}\"\n  addresses: \"{}\"\n  peers: \"{}\"\n  metrics: \"{}\"\n\
             seeds: [{seeds}]\nstore: \"{store}\"\nduties: []\nworkers: 1\ncpu_share: 0.25\n\
             address_lifetime_ms: 2000\nshutdown_grace_ms: 8000\nrepeat_ratio: 0.2\n\
             repeat_allowance: 54\nrepeat_window_ms: 10000\nusage_window_ms: 5000\n\
             targets_check_fences: false\nusage_due_ms: 10000\nreplication:\n  \
             settings_bound_ms: 2000\n  targets_bound_ms: 2000\n  target_heartbeat_ms: 1200\n",
            a[0], a[1], a[2], a[3], a[4]
        );
        std::fs::write(&settings, text).expect("the settings are written");
        Gateway {
            callers: a[0],
            readiness: a[1],
            binary: root.join("target/release/jujubebeam"),
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        }
    });
    gateways.collect()
}

impl Gateway {
    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log is opened");
        let child = Command::new(&self.binary)
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the gateway starts; build the deploy file first"));
    }

    /// Waits until the vm is ready. Returns false after 15 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if call(self.readiness, "GET", "/-/readiness", &[], b"").status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        false
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
