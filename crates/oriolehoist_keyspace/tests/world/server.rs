use {
    super::SAMPLED,
    fastrand::Rng,
    oriolehoist_keyspace::OrderEnd,
    oriolehoist_port::{KeyRange, OrderAnswer, RegisteredServer, ServerState},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// How a grant was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It gave keys that the server did not hold.
    Taken,
    /// It renewed what the server held.
    Renewed,
    /// A higher fence was seen.
    Refused,
}

/// A server that holds keys by grants, with a clock that may run slow.
pub struct Server {
    pub id: SmolStr,
    pub address: SocketAddr,
    pub alive: bool,
    pub registered: Option<ServerState>,
    born: u64,
    /// How much longer than it should its clock lets a hold last, in thousandths.
    slow_per_mille: u64,
    /// For each sampled key the highest fence, and until when it is held under which.
    seen: [u64; SAMPLED.len()],
    held: [Option<(u64, Millis)>; SAMPLED.len()],
}

impl Server {
    pub fn new(rng: &mut Rng, index: u8) -> Server {
        Server {
            id: SmolStr::new(format!("server-{index}")),
            address: SocketAddr::from(([10, 0, 0, index + 1], 80)),
            alive: true,
            registered: Some(ServerState::Ready),
            born: 1,
            slow_per_mille: rng.u64(0..=20),
            seen: [0; SAMPLED.len()],
            held: [None; SAMPLED.len()],
        }
    }

    /// Crashes and starts again under its name: it holds nothing and knows no fence.
    pub fn restart(&mut self, now: Millis) {
        self.born = now.0;
        self.seen = [0; SAMPLED.len()];
        self.held = [None; SAMPLED.len()];
    }

    pub fn registration(&self) -> Option<RegisteredServer> {
        Some(RegisteredServer {
            id: self.id.clone(),
            born: self.born,
            service: SmolStr::new("service"),
            address: self.address,
            zone: SmolStr::new("zone"),
            slots: 2,
            state: self.registered?,
            warm_up_left: Millis::ZERO,
        })
    }

    pub fn grant(
        &mut self,
        now: Millis,
        arrived: Millis,
        range: KeyRange,
        fence: u64,
        hold: Millis,
    ) -> Applied {
        let keys: Vec<usize> =
            (0..SAMPLED.len()).filter(|index| range.contains(SAMPLED[*index])).collect();
        if keys.iter().any(|key| self.seen[*key] > fence) {
            return Applied::Refused;
        }
        let until = arrived + Millis(hold.0 * 1000 / (1000 - self.slow_per_mille));
        let mut applied = Applied::Renewed;
        for key in keys {
            self.seen[key] = fence;
            let before = self.held[key].filter(|(_, end)| *end > now);
            if before.is_none_or(|(held, _)| held != fence) {
                applied = Applied::Taken;
            }
            let end = before.map_or(until, |(_, end)| end.max(until));
            self.held[key] = Some((fence, end));
        }
        applied
    }

    pub fn release(&mut self, range: KeyRange) {
        for (index, key) in SAMPLED.iter().enumerate() {
            if range.contains(*key) {
                self.held[index] = None;
            }
        }
    }

    pub fn answer(&self, applied: Applied) -> OrderEnd {
        match applied {
            Applied::Taken | Applied::Renewed => OrderEnd::Answered(OrderAnswer::Done(None)),
            Applied::Refused => OrderEnd::Answered(OrderAnswer::HigherFence),
        }
    }

    /// Returns the fence under which it holds a key.
    pub fn holds(&self, now: Millis, key: u16) -> Option<u64> {
        let index = SAMPLED.iter().position(|sampled| *sampled == key)?;
        self.held[index].filter(|(_, end)| self.alive && *end > now).map(|(fence, _)| fence)
    }
}
