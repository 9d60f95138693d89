use {crate::caller::LoadProfile, oriolehoist_time::Millis};

/// A parsed scenario.
#[derive(Clone, Debug)]
pub struct Script {
    /// The site's name.
    pub site: String,
    /// Number of daemons.
    pub daemons: usize,
    /// How long a change of the instance list takes to become visible.
    pub list_delay: Millis,
    /// Additional members of the sharded service's settings, as JSON text that ends with a comma.
    pub extra_service_settings: String,
    /// The loads that callers send.
    pub loads: Vec<PlannedLoad>,
    /// The steps, in chronological order.
    pub steps: Vec<Step>,
    /// What must hold at the end.
    pub expectations: Vec<Expectation>,
}

/// One load of a scenario.
#[derive(Clone, Debug)]
pub struct PlannedLoad {
    /// The requests to send.
    pub profile: LoadProfile,
    /// When the load starts, counted from the start of the run.
    pub start: Millis,
    /// How long the load lasts.
    pub duration: Millis,
}

/// An action at a point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When the action happens, counted from the start of the run.
    pub at: Millis,
    /// The action.
    pub action: Action,
}

/// Selects processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// The owner of a key: the server that last ran a request for it.
    Owner(String),
    /// Every server, of all services, but the owner of a key.
    NotOwners(String),
    /// The server with this number, from 1.
    Server(usize),
    /// Every server.
    Servers,
    /// The daemon that holds the assigner role of the sharded service.
    Assigner,
    /// The first daemon that does not hold the assigner role.
    Follower,
    /// Every daemon that does not hold the assigner role.
    Followers,
    /// The daemon with this number, from 1.
    Daemon(usize),
    /// Every daemon.
    Daemons,
    /// Every daemon of the availability zone with this number, from 1.
    Zone(usize),
}

/// The processes at one end of connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// All processes that connect.
    Everyone,
    /// The platform's store.
    Store,
    /// The platform's instance list.
    List,
    /// The selected processes.
    Of(Selector),
}

/// A fault of a network edge, as named in scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Drops all bytes.
    Cut,
    /// Drops all bytes of the connections that are open.
    Silence,
    /// Resets open connections and new ones.
    Reset,
    /// Drops requests.
    SwallowRequests,
    /// Drops responses.
    SwallowAnswers,
    /// Closes a connection when a response arrives.
    LoseAnswers,
    /// Closes a connection when the response to a write arrives.
    LoseWriteAnswers,
    /// Closes a connection in the middle of a response.
    TruncateAnswers,
    /// Delays all bytes.
    Delay(Millis),
}

/// The action of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills processes.
    Kill(Selector),
    /// Freezes processes: they stop doing anything, but keep their connections.
    Freeze(Selector),
    /// Resumes all frozen processes.
    Thaw,
    /// Starts all processes that were killed or stopped.
    StartKilled,
    /// Shuts daemons down gracefully.
    Stop(Selector),
    /// Restarts all daemons gracefully, one after another.
    RollDaemons,
    /// Marks servers as leaving in the instance list.
    ListLeaving(Selector),
    /// Removes servers from the instance list, although they go on running.
    ListWithout(Selector),
    /// Drains servers by a change of the settings.
    Drain(Selector),
    /// Makes servers report that they are draining.
    ReportDraining(Selector),
    /// Makes servers report that they are idle, whatever their load.
    Misreport(Selector),
    /// Adds a fault to the connections from one endpoint to another.
    Fault(FaultKind, Endpoint, Endpoint),
    /// Isolates daemons from all other daemons, in both directions.
    Isolate(Selector),
    /// Removes all faults from all edges.
    Heal,
    /// Sets whether the store responds to reads with old values.
    StaleStore(bool),
    /// Changes numbers in the settings concurrently, each by a different operator.
    Set(Vec<Setting>),
    /// Sends this many requests that crash the server that runs them, to different daemons.
    SendCrash(u32),
}

/// A number in the settings, by its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// The member names from the root of the document, joined by slashes.
    pub path: String,
    /// The value.
    pub value: u64,
}

/// An expectation about the results of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// At least one key had an outage, which shows that the fault had an effect.
    Interruption,
    /// No outage of a key was longer than this.
    ServedAgain(Millis),
    /// At least this percentage of the requests was served.
    Served(u64),
    /// Every request was served: none was refused or got no response.
    NoRefusals,
    /// At least one request was refused with this kind.
    Refusals(String),
    /// No server started a run later than this after it was told to leave.
    NoLateWork(Millis),
    /// Every daemon that runs at the end applied each accepted version within this time.
    InForceWithin(Millis),
    /// No daemon ever went back to an older version of the settings.
    NoVersionFalls,
    /// Exactly this many versions of the settings were accepted.
    Versions(u64),
    /// The store holds exactly this version of the settings at the end.
    HeadVersion(u64),
    /// At least one server crashed, and at most this many.
    CrashesAtMost(u64),
    /// The store received at most this many requests per second.
    StoreCalls(u64),
    /// Requests for the key ran, and all of them at this server.
    RunsAt(String, String),
    /// Changes of owner, summed over all shards, happened at most this many times.
    MovesAtMost(u64),
    /// Changes of owner, summed over all shards, happened at least this many times.
    MovesAtLeast(u64),
}
