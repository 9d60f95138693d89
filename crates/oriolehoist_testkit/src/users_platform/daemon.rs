use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The period in which a throttled daemon runs for its share of the time.
const THROTTLE_PERIOD: Duration = Duration::from_millis(100);

/// A daemon that runs as a process.
pub struct Daemon {
    /// The address at which it listens for callers.
    pub caller_address: SocketAddr,
    /// The address at which the load balancer checks its readiness.
    pub readiness_address: SocketAddr,
    /// The address at which other daemons reach it.
    pub peer_address: SocketAddr,
    pub(super) program: PathBuf,
    pub(super) settings_file: PathBuf,
    pub(super) log_file: PathBuf,
    pub(super) child: Option<Child>,
}

impl Daemon {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn start(&mut self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log_file)?;
        let child = Command::new(&self.program)
            .arg("--platform")
            .env("ORIOLEHOIST_SETTINGS", &self.settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the daemon reports to the load balancer that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not ready within `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) -> eyre::Result<()> {
        let deadline = Instant::now() + timeout;
        let url = format!("http://{}/v1/ready", self.readiness_address);
        while Instant::now() < deadline {
            let response = reqwest::get(&url).await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        eyre::bail!(
            "daemon at {} was not ready within {timeout:?}; its log: {}",
            self.readiness_address,
            self.log_file.display()
        )
    }

    /// Returns the daemon's metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub async fn metrics(&self) -> eyre::Result<String> {
        Ok(reqwest::get(format!("http://{}:7720/metrics", self.peer_address.ip()))
            .await?
            .text()
            .await?)
    }

    /// Returns the daemon's log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_file).unwrap_or_default()
    }

    /// Returns whether the daemon holds the assigner role, according to the last events in its log.
    pub fn is_assigner(&self) -> bool {
        let log = self.log();
        let last = |event: &str| log.rfind(event).map_or(0, |at| at + 1);
        self.child.is_some() && last("TermWon") > last("TermLost").max(last("Started:"))
    }

    /// Returns whether the daemon was started and not killed or stopped.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the largest amount of memory that the daemon has used, in bytes, or `None` if it is not
    /// running.
    pub fn peak_memory(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kib| kib << 10)
    }

    /// Kills the daemon immediately.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the daemon's process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_frozen(&self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
    }

    /// Appends `text` to the daemon's settings file, and sends the daemon SIGHUP so that it reloads
    /// the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn change_settings(&self, text: &str) -> eyre::Result<()> {
        let current = fs::read_to_string(&self.settings_file)?;
        fs::write(&self.settings_file, format!("{current}{text}"))?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Sends the daemon SIGTERM, without waiting for its exit.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Shuts the daemon down with SIGTERM, and waits until it has exited. Returns `None` if it was
    /// not running.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for the process fails.
    pub async fn stop(&mut self) -> eyre::Result<Option<ExitStatus>> {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return Ok(None) };
        Ok(Some(tokio::task::spawn_blocking(move || child.wait()).await??))
    }

    /// Lets the daemon run for a share of the time only, in periods of 100 ms, as a machine of that
    /// many cores does. Ends with the daemon.
    pub fn throttle(&self, share: f64) {
        let pid = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        let Some(pid) = pid.and_then(Pid::from_raw) else { return };
        tokio::spawn(async move {
            let running = THROTTLE_PERIOD.mul_f64(share);
            // A signal fails once the process has been waited for.
            while kill_process(pid, Signal::CONT).is_ok() {
                sleep(running).await;
                if kill_process(pid, Signal::STOP).is_err() {
                    return;
                }
                sleep(THROTTLE_PERIOD - running).await;
            }
        });
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // An error means that the process has just exited, so it needs no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
