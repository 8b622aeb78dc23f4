//! Child processes of `up`.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::{env, fs, process};

use super::example::{Layout, MODEL};

/// The started processes, stopped in reverse order.
#[derive(Default)]
pub(crate) struct Processes {
    children: Vec<Child>,
    directory: Option<PathBuf>,
}

impl Processes {
    /// Starts the platform, all targets and all vms.
    pub(crate) fn start_all(&mut self, layout: &Layout) -> Result<(), String> {
        let directory = self.create_directory()?;
        let vms = directory.join("vms.json");
        let list = serde_json::to_vec(&layout.vm_list()).map_err(|e| e.to_string())?;
        fs::write(&vms, list).map_err(|e| e.to_string())?;
        let targets = directory.join("targets.json");
        let list = serde_json::to_vec(&layout.target_file()).map_err(|e| e.to_string())?;
        fs::write(&targets, list).map_err(|e| e.to_string())?;
        self.start(&[
            "platform",
            "--address",
            &layout.platform.to_string(),
            "--vms",
            &vms.to_string_lossy(),
            "--targets",
            &targets.to_string_lossy(),
        ])?;
        if layout.relays {
            let control = layout.relay.to_string();
            let links = layout.links();
            let mut arguments = vec!["relay", "--address", &control];
            arguments.extend(links.iter().flat_map(|link| ["--link", link.as_str()]));
            self.start(&arguments)?;
        }
        for engine in layout.engines.iter().chain(&layout.spares) {
            let address = engine.address.to_string();
            self.start(&["engine", "--address", &address, "--model", MODEL])?;
        }
        for service in &layout.services {
            let address = service.address.to_string();
            let journal = directory.join(format!("{}.journal", service.name));
            self.start(&[
                "service",
                "--address",
                &address,
                "--name",
                &service.name,
                "--journal",
                &journal.to_string_lossy(),
            ])?;
        }
        for vm in &layout.vms {
            let file = directory.join(format!("vm-{}.yaml", vm.id));
            fs::write(&file, layout.process_settings(vm)).map_err(|e| e.to_string())?;
            self.start(&["vm", "run", "--config", &file.to_string_lossy()])?;
        }
        Ok(())
    }

    /// Creates a directory for the files of the processes.
    pub(crate) fn create_directory(&mut self) -> Result<PathBuf, String> {
        let directory = env::temp_dir().join(format!("jujubebeam-up-{}", process::id()));
        fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        self.directory = Some(directory.clone());
        Ok(directory)
    }

    /// Starts a process of this program and returns its id.
    pub(crate) fn start(&mut self, arguments: &[&str]) -> Result<u32, String> {
        let program = env::current_exe().map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| format!("{}: {e}", arguments.join(" ")))?;
        let id = child.id();
        self.children.push(child);
        Ok(id)
    }

    /// Stops all processes and removes their files.
    pub(crate) fn stop(&mut self) {
        for child in self.children.iter_mut().rev() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        if let Some(directory) = self.directory.take() {
            let _ = fs::remove_dir_all(directory);
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.stop();
    }
}
