//! Processes of the gateway, started with the command and the settings template of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::wire::Connection;

pub struct Gateway {
    process: Child,
    folder: PathBuf,
    pub callers: String,
    readiness: String,
}

/// A free port of the loopback address.
pub fn free_address() -> io::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

impl Gateway {
    /// Starts a vm. The settings are those of the sheets of the small deployments.
    pub fn start(name: &str, store_port: u16) -> io::Result<Self> {
        let (callers, readiness) = (free_address()?, free_address()?);
        let folder = std::env::temp_dir().join(format!("stand-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let template = fs::read_to_string("deploy/vm.yaml")?;
        let store = format!("127.0.0.1:{store_port}");
        // The template has a fixed port for metrics, which another process may have.
        let template = template.replace("\"{{ip}}:9464\"", &format!("\"{}\"", free_address()?));
        let values = [
            ("node-name", name.to_owned()),
            ("zone", "z1".to_owned()),
            ("listen-addrs.frontend", callers.clone()),
            ("listen-addrs.ready", readiness.clone()),
            ("listen-addrs.directory", free_address()?),
            ("listen-addrs.control-plane", free_address()?),
            ("seeds|json", "[]".to_owned()),
            ("platform.address", store.clone()),
            ("cloud-api.address", store),
            ("cloud-api.duties|json", "[]".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.cpu-share", "0.25".to_owned()),
            ("limits.memory-mb", "260".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
            ("bounds.grace-period-s", "8".to_owned()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.retry-slack", "52".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.usage-window-s", "5".to_owned()),
            ("bounds.usage-late-s", "10".to_owned()),
            ("bounds.require-fencing", "false".to_owned()),
            ("bounds.config-apply-ms", "2000".to_owned()),
            ("bounds.drain-timeout-ms", "2000".to_owned()),
            ("heartbeat-interval-ms", "1200".to_owned()),
        ];
        let fill = |text: String, (field, value): &(&str, String)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        };
        let settings = values.iter().fold(template, fill);
        if settings.contains("{{") {
            return Err(io::Error::other(
                "deploy/vm.yaml has a field that is not known here",
            ));
        }
        let file = folder.join("vm.yaml");
        fs::write(&file, settings)?;
        let process = Command::new("target/release/jujubebeam")
            .arg("gateway")
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("log"))?)
            .stderr(File::create(folder.join("errors"))?)
            .spawn()?;
        Ok(Self {
            process,
            folder,
            callers,
            readiness,
        })
    }

    /// Waits until the vm says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the vm did not become ready"))
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut connection = connect(&self.readiness)?;
        connection.send("GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n")?;
        Ok(connection.read()?.status() == 200)
    }

    /// Log lines of the vm that contain a word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = |name: &str| fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        let text = text("log") + &text("errors");
        let lines = text.lines().filter(|line| line.contains(word));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(Path::new(&self.folder));
    }
}

/// Opens a connection on which nothing is waited for longer than 20 s.
pub fn connect(address: &str) -> io::Result<Connection> {
    let stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(Connection::new(stream))
}
