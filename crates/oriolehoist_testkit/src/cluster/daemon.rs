use {
    eyre::WrapErr,
    oriolehoist_daemon::{Daemon, Running},
    oriolehoist_protocol::{InstanceName, ZoneName},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
    },
};

/// How a cluster's daemons run.
#[derive(Clone, Debug)]
pub enum DaemonMode {
    /// As processes of the program at this path.
    Process(PathBuf),
    /// Inside this process, on their own threads.
    Embedded,
}

/// One daemon of a cluster.
pub struct DaemonHandle {
    /// The name of its instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The local address of its outgoing connections.
    pub ip: IpAddr,
    /// The address at which it listens for callers.
    pub caller_address: SocketAddr,
    /// The address at which it listens for operators.
    pub operator_address: SocketAddr,
    /// The address of the proxy through which other daemons reach it.
    pub advertised_address: SocketAddr,
    pub(super) settings_file: PathBuf,
    pub(super) mode: DaemonMode,
    pub(super) state: DaemonState,
}

pub(super) enum DaemonState {
    Stopped,
    Process(Child),
    Embedded(Box<Daemon<Running>>),
}

impl DaemonHandle {
    /// Returns the name of the network edge over which other daemons reach it.
    pub fn edge(&self) -> String {
        format!("daemon:{}", self.name)
    }

    /// Returns whether it has been started and neither stopped nor killed since.
    pub fn is_alive(&self) -> bool {
        !matches!(self.state, DaemonState::Stopped)
    }

    /// Returns its process id, if it runs as a process.
    pub fn pid(&self) -> Option<u32> {
        match &self.state {
            DaemonState::Process(child) => Some(child.id()),
            _ => None,
        }
    }

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn start(&mut self) -> eyre::Result<()> {
        self.state = match &self.mode {
            DaemonMode::Process(program) => {
                let log = self.settings_file.with_extension("log");
                let log = File::options().create(true).append(true).open(log)?;
                let child = Command::new(program)
                    .arg(&self.settings_file)
                    .stdin(Stdio::null())
                    .stdout(log.try_clone()?)
                    .stderr(log)
                    .spawn()
                    .wrap_err("can't start the daemon process")?;
                DaemonState::Process(child)
            }
            DaemonMode::Embedded => {
                let text = fs::read_to_string(&self.settings_file)?;
                let settings = oriolehoist_settings::parse_instance_file(&text)?;
                DaemonState::Embedded(Box::new(Daemon::configure(settings)?.start().await?))
            }
        };
        Ok(())
    }

    /// Kills the daemon immediately, without a graceful shutdown.
    pub fn kill(&mut self) {
        match std::mem::replace(&mut self.state, DaemonState::Stopped) {
            DaemonState::Process(mut child) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            DaemonState::Embedded(daemon) => drop(daemon),
            DaemonState::Stopped => {}
        }
    }

    /// Stops the process with SIGSTOP, as when its instance is paused, or resumes it with SIGCONT.
    /// Has no effect on an embedded daemon.
    pub fn set_frozen(&self, frozen: bool) {
        let signal = match frozen {
            true => Signal::STOP,
            false => Signal::CONT,
        };
        self.signal(signal);
    }

    /// Shuts the daemon down gracefully and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if its process exits with a failure.
    pub async fn stop(&mut self) -> eyre::Result<()> {
        self.signal(Signal::TERM);
        match std::mem::replace(&mut self.state, DaemonState::Stopped) {
            DaemonState::Process(mut child) => {
                let wait = tokio::task::spawn_blocking(move || child.wait());
                let status: ExitStatus = wait.await??;
                eyre::ensure!(status.success(), "the daemon process exited with {status}");
            }
            DaemonState::Embedded(daemon) => daemon.stop().await,
            DaemonState::Stopped => {}
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let pid = match &self.state {
            DaemonState::Process(child) => i32::try_from(child.id()).ok().and_then(Pid::from_raw),
            _ => None,
        };
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for DaemonHandle {
    fn drop(&mut self) {
        self.kill();
    }
}
