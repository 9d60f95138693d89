use log::Level;

/// Declares the events with their numbers, levels and descriptions.
macro_rules! events {
    ($( $(#[$doc:meta])* $name:ident = $number:literal, $level:ident; )*) => {
        /// A numbered log event. `docs/EVENTS.md` lists all of them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $( $(#[$doc])* $name = $number, )*
        }

        impl Event {
            /// All events.
            pub const ALL: &[Event] = &[ $( Event::$name, )* ];

            /// Returns the event's name.
            pub const fn name(self) -> &'static str {
                match self { $( Event::$name => stringify!($name), )* }
            }

            /// Returns the level at which the event is logged.
            pub const fn level(self) -> Level {
                match self { $( Event::$name => Level::$level, )* }
            }
        }
    };
}

events! {
    /// The daemon is listening.
    Started = 1001, Info;
    /// The daemon has been asked to stop.
    Stopping = 1002, Info;
    /// The daemon has completed its requests and exits.
    Stopped = 1003, Info;
    /// A receipt key could not be read.
    KeyUnreadable = 1004, Error;
    /// The daemon became ready, or is no longer ready.
    Readiness = 1005, Info;
    /// The settings file that is read at startup changed.
    SettingsFileChanged = 1006, Info;
    /// A listener could not be opened, failed or ended.
    ListenerLost = 1007, Error;
    /// A version of the settings came into force.
    SettingsInForce = 2001, Info;
    /// A version of the settings is invalid and was ignored.
    SettingsRejected = 2002, Error;
    /// The platform's store is unavailable.
    StoreAway = 2003, Warn;
    /// The platform's store is available again.
    StoreBack = 2004, Info;
    /// A call to the store failed.
    StoreCallFailed = 2005, Info;
    /// The list of backend servers changed.
    ServersChanged = 2006, Info;
    /// The registration of a server is malformed and was ignored.
    ServerMalformed = 2007, Warn;
    /// All servers were read from the store.
    ServersRead = 2008, Info;
    /// A server started or stopped draining, as far as this daemon knows.
    ServerDraining = 2009, Info;
    /// The store or a daemon named a later era than known before, or one for the first time.
    StoreEraChanged = 2010, Info;
    /// A call to the store, to another daemon or to a server got no response in time.
    CallTimedOut = 2011, Info;
    /// The configuration was not confirmed in time, and is checked over a new connection.
    SettingsStale = 2012, Info;
    /// The evacuation of an availability zone began or ended, as far as this daemon knows.
    ZoneEvacuated = 2013, Info;
    /// A key that evacuates zones can't be used, or there are too many. It is ignored.
    EvacuationMalformed = 2014, Warn;
    /// The evacuated zones were not confirmed in time, and are read over a new connection.
    EvacuationsStale = 2015, Info;
    /// This daemon called a store of which only one other daemon said that it fails.
    StoreChecked = 2016, Info;
    /// The items of a list behind some page can't be read. Those before it are used.
    ListIncomplete = 2017, Warn;
    /// This daemon won a term as the assigner of a service.
    TermWon = 3001, Info;
    /// Another daemon holds a higher term, and this one is no longer the assigner.
    TermLost = 3002, Warn;
    /// An attempt to win a term failed.
    TermAttemptFailed = 3003, Debug;
    /// No previous assigner can renew grants any more.
    TermSettled = 3004, Info;
    /// The assigner has no quorum of witness leases and renews no grants.
    VouchersMissing = 3005, Warn;
    /// The assigner has a quorum of witness leases again.
    VouchersBack = 3006, Info;
    /// The witnesses or the servers in the record of a term were replaced.
    RecordReplaced = 3007, Info;
    /// No message from the assigner was received within the timeout, or contact is restored.
    AssignerHeard = 3008, Info;
    /// A change of ownership was planned and is about to be stored.
    OwnershipPlanned = 3009, Info;
    /// An order to a server failed or was not carried out in full.
    OrderFailed = 3010, Info;
    /// Daemons joined, or stopped responding to the assigner.
    MembersChanged = 3011, Info;
    /// A peer did not confirm a message of the assigner.
    SyncFailed = 3012, Info;
    /// An order to a server was carried out, and it is not a renewal on a reused connection.
    OrderEnded = 3013, Info;
    /// This daemon gave up the role of assigner to one that reaches more servers.
    RoleHandedOver = 3014, Warn;
    /// The numbers of daemons that run each build changed, as far as this daemon knows.
    BuildsChanged = 3015, Info;
    /// A request was refused.
    Refused = 4001, Info;
    /// A server crashed with requests in flight.
    ServerCrashed = 4002, Warn;
    /// Connections to a server stopped responding and were closed.
    ConnectionsRetired = 4003, Warn;
    /// A request was served late, or after more than one attempt.
    Served = 4004, Info;
    /// A server named another limit on the rate of its requests, or none any more.
    ServerLimit = 4005, Info;
    /// A server named a limit that is not a number of requests. It is ignored.
    ServerLimitMalformed = 4006, Warn;
    /// A server's response had no end, or needed too much memory, and was given up.
    ResponseEndless = 4007, Warn;
    /// A server said that it leaves.
    ServerLeaving = 4008, Info;
    /// A server that turned a request away wants none for some time.
    ServerPaused = 4009, Info;
    /// A server said something about the requests that it takes that is malformed. It is ignored.
    ServerStatementMalformed = 4010, Warn;
    /// No connection to a server can be opened any more.
    PathLost = 4011, Info;
    /// A server that could not be reached has answered.
    PathRestored = 4012, Info;
    /// This daemon reaches no server any more, or reaches one again.
    CutOff = 4013, Warn;
    /// A server counts as cold: it has started lately, or may have.
    ServerCold = 4014, Info;
    /// A server no longer counts as cold.
    ServerWarm = 4015, Info;
    /// What was said about the warm-up of a server or a service is malformed. It is ignored.
    WarmUpMalformed = 4016, Warn;
    /// The service time of a server, as measured by all daemons, changed by a third.
    ServerSpeedChanged = 4017, Info;
    /// A daemon sent implausible service times of servers. They are ignored.
    ServerSpeedsMalformed = 4018, Warn;
    /// The servers of a service begin to be probed for their load.
    LoadProbesUsed = 4019, Info;
    /// A server has answered none of ten load probes in a row.
    LoadProbesUnanswered = 4020, Warn;
    /// Requests to a service began to wait for its servers' queues, or none waits any more.
    RequestsHeld = 4021, Info;
    /// Responses arrived that belong to no request in flight, or may. They were skipped.
    ResponseUnexpected = 4022, Info;
    /// A server said that it did not run a request.
    AttemptRefused = 4023, Debug;
    /// A request is sent to a server that counts as cold.
    ColdServerUsed = 4024, Info;
    /// A request is in quarantine, as it was in flight at several servers when they crashed.
    RequestQuarantined = 4025, Warn;
    /// The daemon that issues permits for requests to cold servers does not answer, or does so again.
    PermitsUnanswered = 4026, Warn;
    /// A peer sent a malformed message.
    PeerMalformed = 5001, Warn;
}

/// Logs an event with its number and name.
pub fn report(event: Event, text: std::fmt::Arguments<'_>) {
    log::log!(event.level(), "E{} {}: {text}", event as u32, event.name());
}
