//! A small world around the ownership machines: clocks that drift, messages that are delayed,
//! repeated, reordered and lost, processes that freeze and restart, and a store that goes away.
#![allow(dead_code, reason = "each test binary uses a part of the world")]

mod coarse;
mod delivery;
mod drift;
mod message;
mod terms;

use {
    drift::Drift,
    message::{Cut, Message, Node},
    oriolehoist_ownership::{
        Assigner, Effect, Event, Follower, GrantTable, PeerView, Timing, Work,
    },
    oriolehoist_protocol::{
        Heartbeat, Incarnation, InstanceName, ServerAddress, ServerName, ServiceName, ShardId,
        TermRecord, Version, Witness, ZoneName,
    },
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

pub const SERVERS: usize = 2;
pub const SHARDS: u32 = 2;
/// How many rounds of 50 ms a world in good order has to recover in.
const RECOVERY_ROUNDS: usize = 100;
/// After how many rounds a holder without vouchers replaces its record.
const ROUNDS_TO_REPLACE: usize = 10;
/// The greatest number of messages that may be under way in good order.
const MAX_ROUND_MESSAGES: usize = 200;

#[derive(Clone)]
struct Server {
    drift: Drift,
    table: GrantTable,
    frozen: bool,
    work: Vec<Work>,
    /// Revocations that wait for work in flight.
    waiting: Vec<Message>,
}

#[derive(Clone)]
struct Daemon {
    drift: Drift,
    follower: Follower,
    assigner: Option<Assigner>,
    incarnation: Incarnation,
    frozen: bool,
}

#[derive(Clone)]
pub struct World {
    time: u64,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    record: Option<TermRecord>,
    store_up: bool,
    bag: Vec<Message>,
    lives: u64,
    leaving: Option<usize>,
    /// Pairs of processes between which no message passes.
    cuts: Vec<Cut>,
    pub moves: u64,
    pub takeovers: u64,
}

fn service() -> ServiceName {
    ServiceName::from("tides")
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + daemon as u16))
}

fn server_addresses() -> Vec<ServerAddress> {
    (0..SERVERS)
        .map(|s| ServerAddress {
            name: ServerName::from(format!("s{s}").as_str()),
            address: SocketAddr::from(([127, 0, 0, 1], 2000 + s as u16)),
        })
        .collect()
}

impl World {
    /// Creates a world of this many daemons, whose clocks drift as far apart as is allowed.
    pub fn new(daemons: usize) -> World {
        let drift =
            |n: usize| Drift { per_mille: [5, -5, 0][n % 3], offset: 10_000 + 777 * n as u64 };
        let mut world = World {
            time: 0,
            servers: Vec::new(),
            daemons: Vec::new(),
            record: None,
            store_up: true,
            bag: Vec::new(),
            lives: 0,
            leaving: None,
            cuts: Vec::new(),
            moves: 0,
            takeovers: 0,
        };
        for n in 0..SERVERS {
            let incarnation = world.next_life();
            world.servers.push(Server {
                drift: drift(n),
                table: GrantTable::new(incarnation),
                frozen: false,
                work: Vec::new(),
                waiting: Vec::new(),
            });
        }
        for n in 0..daemons {
            let incarnation = world.next_life();
            let drift = drift(n + 1);
            world.daemons.push(Daemon {
                drift,
                follower: follower(drift.at(0), incarnation),
                assigner: None,
                incarnation,
                frozen: false,
            });
        }
        world
    }

    fn next_life(&mut self) -> Incarnation {
        self.lives += 1;
        Incarnation(self.lives)
    }

    fn witness(&self, daemon: usize) -> Witness {
        Witness {
            instance: InstanceName::from(format!("d{daemon}").as_str()),
            incarnation: self.daemons[daemon].incarnation,
            address: address(daemon),
        }
    }

    fn peers_of(&self, daemon: usize) -> Vec<PeerView> {
        (0..self.daemons.len())
            .filter(|&d| d != daemon)
            .map(|d| PeerView { witness: self.witness(d), zone: ZoneName::from("z") })
            .collect()
    }

    /// Carries out one step that a number stands for.
    pub fn act(&mut self, number: u32) {
        let pick = (number / 128) as usize;
        match number % 128 {
            0..24 => self.tick(pick % self.daemons.len()),
            24..70 => self.deliver(pick),
            70..73 => self.drop_message(pick),
            73..76 => self.repeat_message(pick),
            76..86 => self.time += 10 + (pick as u64 % 12) * 20,
            86..100 => self.run_in_order(1 + pick % 6),
            100..103 => self.take_over(pick % self.daemons.len(), !pick.is_multiple_of(5)),
            103 => self.replace(pick % self.daemons.len(), !pick.is_multiple_of(3)),
            104 => self.restart_server(pick % SERVERS),
            105 => self.restart_daemon(pick % self.daemons.len()),
            106 => self.servers[pick % SERVERS].frozen = true,
            107..109 => self.servers.iter_mut().for_each(|s| s.frozen = false),
            109 => {
                let count = self.daemons.len();
                self.daemons[pick % count].frozen = true;
            }
            110..112 => self.daemons.iter_mut().for_each(|d| d.frozen = false),
            112 => self.store_up = !self.store_up,
            113..117 => self.begin_work(pick),
            117..121 => self.end_work(pick),
            121..123 => self.leaving = [None, Some(0), Some(1)][pick % 3],
            123 => self.isolate(pick),
            124 => self.cut(pick),
            125 => self.cuts.clear(),
            _ => self.time += 200 + (pick as u64 % 10) * 200,
        }
    }

    /// Lets every process that isn't frozen work, and delivers every message, in rounds.
    fn run_in_order(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for d in 0..self.daemons.len() {
                self.tick(d);
            }
            for message in std::mem::take(&mut self.bag) {
                self.deliver_or_keep(message);
            }
            for message in std::mem::take(&mut self.bag) {
                self.deliver_or_keep(message);
            }
            self.time += 50;
        }
    }

    /// Cuts a daemon off from the other daemons, or from one way to and from them.
    fn isolate(&mut self, pick: usize) {
        let count = self.daemons.len();
        let lone = Node::Daemon(pick % count);
        for other in (0..count).map(Node::Daemon).filter(|other| *other != lone) {
            if !(pick / 8).is_multiple_of(4) {
                self.cuts.push(Cut { from: lone, to: other });
            }
            if !(pick / 32).is_multiple_of(4) {
                self.cuts.push(Cut { from: other, to: lone });
            }
        }
    }

    /// Cuts a daemon off from a server.
    fn cut(&mut self, pick: usize) {
        let daemon = Node::Daemon(pick % self.daemons.len());
        let server = Node::Server(pick / 8 % SERVERS);
        self.cuts.push(Cut { from: daemon, to: server });
        if !(pick / 32).is_multiple_of(4) {
            self.cuts.push(Cut { from: server, to: daemon });
        }
    }

    fn is_cut(&self, message: &Message) -> bool {
        self.cuts.contains(&message.way())
    }

    fn deliver_or_keep(&mut self, message: Message) {
        match (self.is_cut(&message), self.is_frozen(&message)) {
            (true, _) => {}
            (false, true) => self.bag.push(message),
            (false, false) => self.receive(message),
        }
    }

    /// Returns whether every shard is owned now.
    pub fn is_served(&self) -> bool {
        let owned = |shard| (0..SERVERS).any(|s| self.owns(s, shard));
        (0..SHARDS).map(ShardId).all(owned)
    }

    fn tick(&mut self, d: usize) {
        if self.daemons[d].frozen {
            return;
        }
        let leaving = self.leaving.map(|s| server_addresses()[s].name.clone());
        self.step(d, Event::ServersLeaving(leaving.into_iter().collect()));
        self.step(d, Event::Tick);
        self.beat(d);
    }

    fn beat(&mut self, d: usize) {
        let sent = self.daemons[d].drift.at(self.time);
        let Some(assigner) = &self.daemons[d].assigner else { return };
        let beat = Heartbeat {
            service: service(),
            term: assigner.record().term,
            record: Some(assigner.record().clone()),
            delta: assigner.delta_since(Version(0)),
            settings: Version(1),
        };
        let answer = self.daemons[d].follower.on_heartbeat(sent, &beat);
        let from = InstanceName::from(format!("d{d}").as_str());
        for to in (0..self.daemons.len()).filter(|&to| to != d) {
            self.bag.push(Message::Beat { from: d, to, sent, beat: beat.clone() });
        }
        self.step(d, Event::Heartbeat { from, sent, answer });
    }

    fn step(&mut self, d: usize, event: Event) {
        let now = self.daemons[d].drift.at(self.time);
        let Some(assigner) = &mut self.daemons[d].assigner else { return };
        let before = assigner.status(now).moved_shards;
        let effects = assigner.step(now, event);
        self.moves += assigner.status(now).moved_shards - before;
        for effect in effects {
            match effect {
                Effect::Send { server, order } => {
                    self.bag.push(Message::Order { from: d, to: server.0, sent: now, order });
                }
                Effect::AskAccept { witness, request } => {
                    self.bag.push(Message::Accept { from: d, witness, request });
                }
                Effect::Settled => self.settle(d),
                Effect::StepDown => self.daemons[d].assigner = None,
            }
        }
    }

    fn restart_server(&mut self, s: usize) {
        let incarnation = self.next_life();
        let server = &mut self.servers[s];
        server.table = GrantTable::new(incarnation);
        server.work.clear();
        server.waiting.clear();
        server.frozen = false;
    }

    fn restart_daemon(&mut self, d: usize) {
        let incarnation = self.next_life();
        let now = self.daemons[d].drift.at(self.time);
        let daemon = &mut self.daemons[d];
        daemon.incarnation = incarnation;
        daemon.follower = follower(now, incarnation);
        daemon.assigner = None;
        daemon.frozen = false;
    }

    fn begin_work(&mut self, pick: usize) {
        let server = &mut self.servers[pick % SERVERS];
        let now = server.drift.at(self.time);
        let live = server.table.live(now);
        if let (false, Some(grant)) = (server.frozen, live.get(pick / 7 % live.len().max(1))) {
            server.work.extend(server.table.begin(now, grant.shard, grant.epoch));
        }
    }

    fn end_work(&mut self, pick: usize) {
        let s = pick % SERVERS;
        let server = &mut self.servers[s];
        if server.frozen || server.work.is_empty() {
            return;
        }
        let work = server.work.swap_remove(pick / 7 % server.work.len());
        server.table.end(work);
        for message in std::mem::take(&mut server.waiting) {
            self.receive(message);
        }
    }

    /// Describes a broken promise, if there is one now.
    pub fn violation(&self) -> Option<String> {
        for shard in (0..SHARDS).map(ShardId) {
            let owners: Vec<usize> = (0..SERVERS).filter(|&s| self.owns(s, shard)).collect();
            if owners.len() > 1 {
                return Some(format!("at {}: {owners:?} own shard {shard}", self.time));
            }
            for (s, server) in self.servers.iter().enumerate() {
                let now = server.drift.at(self.time);
                let lasting =
                    |w: &&Work| w.shard() == shard && server.table.may_take_effect(now, w);
                let works = server.work.iter().any(|w| lasting(&w));
                if works && owners.iter().any(|&owner| owner != s) {
                    return Some(format!(
                        "at {}: work of {s} while {owners:?} own {shard}",
                        self.time
                    ));
                }
            }
        }
        None
    }

    fn owns(&self, s: usize, shard: ShardId) -> bool {
        let server = &self.servers[s];
        let now = server.drift.at(self.time);
        server.table.live(now).iter().any(|grant| grant.shard == shard)
    }

    /// Ends every fault and runs in order; returns whether every shard is owned then.
    pub fn recovers(&mut self) -> bool {
        self.store_up = true;
        self.leaving = None;
        self.cuts.clear();
        for server in &mut self.servers {
            server.frozen = false;
            for work in std::mem::take(&mut server.work) {
                server.table.end(work);
            }
        }
        for daemon in &mut self.daemons {
            daemon.frozen = false;
        }
        for s in 0..SERVERS {
            let waiting = std::mem::take(&mut self.servers[s].waiting);
            self.bag.extend(waiting);
        }
        for round in 0..RECOVERY_ROUNDS {
            if round % ROUNDS_TO_REPLACE == 0 {
                self.replace_unvouched();
            }
            if self.daemons.iter().all(|d| d.assigner.is_none()) {
                self.take_over(0, true);
            }
            self.run_in_order(1);
            if self.violation().is_some() {
                return false;
            }
        }
        // What is still under way is what one round brings forth; more would be a storm.
        if self.bag.len() > MAX_ROUND_MESSAGES {
            return false;
        }
        self.is_served()
    }
}

fn follower(now: Millis, incarnation: Incarnation) -> Follower {
    Follower::new(now, incarnation, service(), SHARDS, Timing::default())
}
