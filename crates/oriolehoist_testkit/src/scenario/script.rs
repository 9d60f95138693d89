use {crate::caller::LoadProfile, oriolehoist_time::Millis};

/// A scenario, ready to run.
#[derive(Clone, Debug)]
pub struct Script {
    /// The site's name.
    pub site: String,
    /// How many daemons.
    pub daemons: usize,
    /// How far the instance list lags.
    pub list_lag: Millis,
    /// Members added to the service split by key, in its settings.
    pub service_extra: String,
    /// What callers send, and for how long.
    pub loads: Vec<PlannedLoad>,
    /// What happens, in the order of time.
    pub steps: Vec<Step>,
    /// What must come of it.
    pub expectations: Vec<Expectation>,
}

/// One load of a scenario.
#[derive(Clone, Debug)]
pub struct PlannedLoad {
    /// What is sent.
    pub profile: LoadProfile,
    /// When it starts.
    pub start: Millis,
    /// For how long.
    pub length: Millis,
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, counted from the start of the load.
    pub at: Millis,
    /// What.
    pub action: Action,
}

/// Names processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// The server that owns a key.
    Owner(String),
    /// Every server of the same service that does not own a key.
    NotOwners(String),
    /// The server with this number, from 1.
    Server(usize),
    /// Every server.
    Servers,
    /// The daemon that assigns.
    Assigner,
    /// The first daemon that does not assign.
    Follower,
    /// Every daemon that does not assign.
    Followers,
    /// The daemon with this number, from 1.
    Daemon(usize),
    /// Every daemon.
    Daemons,
    /// Every daemon of the availability zone with this number, from 1.
    Zone(usize),
}

/// One end of an edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Whoever connects.
    Everyone,
    /// The platform's store.
    Store,
    /// The platform's instance list.
    List,
    /// Processes.
    Of(Selector),
}

/// A fault of an edge, by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nothing passes.
    Cut,
    /// Open connections go silent.
    Silence,
    /// Requests are swallowed.
    SwallowRequests,
    /// Answers are swallowed.
    SwallowAnswers,
    /// Connections close when an answer comes.
    LoseAnswers,
    /// Connections close when the answer to a write comes.
    LoseWriteAnswers,
    /// Connections close within an answer.
    TruncateAnswers,
    /// Everything is late.
    Delay(Millis),
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills processes.
    Kill(Selector),
    /// Freezes processes.
    Freeze(Selector),
    /// Thaws everything that is frozen.
    Thaw,
    /// Starts everything that was killed or stopped.
    StartKilled,
    /// Stops daemons gracefully.
    Stop(Selector),
    /// Stops and starts every daemon, one after another.
    RollDaemons,
    /// Shows a server as leaving on the instance list.
    ListLeaving(Selector),
    /// Drains a server by the settings.
    Drain(Selector),
    /// Makes a server report that it drains.
    ReportDraining(Selector),
    /// Makes servers report a false load.
    Misreport(Selector),
    /// Sets a fault on the edges from one end to another.
    Fault(FaultKind, End, End),
    /// Cuts processes off from all other daemons, both ways.
    Isolate(Selector),
    /// Ends every fault of an edge.
    Heal,
    /// Makes the store answer reads with old values, or not.
    StaleStore(bool),
    /// Sets numbers in the settings, each by an operator of its own, at the same time.
    Set(Vec<Setting>),
    /// Sends a request that crashes the server that runs it, this often, at different daemons.
    SendCrash(u32),
}

/// A number in the settings, by its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// The path of names, joined by slashes.
    pub path: String,
    /// The value.
    pub value: u64,
}

/// What must come of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// Some key was not served for some time: the fault did strike.
    Interruption,
    /// No key was out of service for longer.
    ServedAgain(Millis),
    /// At least so many of a hundred requests were served.
    Served(u64),
    /// No request was refused, or left without an answer.
    NoRefusals,
    /// Refusals of this kind came.
    Refusals(String),
    /// A server that leaves got no new work after this time.
    NoLateWork(Millis),
    /// Every live daemon had the last settings within this time.
    InForceWithin(Millis),
    /// No daemon ever went back to an older version.
    NoVersionFalls,
    /// Exactly so many versions were accepted.
    Versions(u64),
    /// The store holds exactly this version at the end.
    HeadVersion(u64),
    /// At most so many servers crashed.
    CrashesAtMost(u64),
    /// At most so many calls a second went to the store.
    StoreCalls(u64),
    /// Every request for a key ran at this server.
    RunsAt(String, String),
    /// At most so many shards changed owner.
    MovesAtMost(u64),
    /// At least so many shards changed owner.
    MovesAtLeast(u64),
}
