//! What the directed tests share.

use {
    oriolehoist_keyspace::{Fences, HOLD, Keeper, Life, OrderEnd, OrderToSend},
    oriolehoist_port::{Order, OrderAnswer, RegisteredServer, ServerState},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
};

pub const START: Millis = Millis(100_000);
pub const STEP: Millis = Millis(20);
/// The longest hold that any assigner gives.
pub const LONGEST_HOLD: Millis = Millis(10_000);

pub fn server(id: &str, state: ServerState) -> RegisteredServer {
    let last = id.bytes().last().unwrap_or(0);
    RegisteredServer {
        id: SmolStr::new(id),
        born: 1,
        service: SmolStr::new("service"),
        address: ([10, 0, 0, last], 80).into(),
        zone: SmolStr::new("zone"),
        slots: 2,
        state,
        warm_up_left: Millis::ZERO,
    }
}

pub fn life(id: &str) -> Life {
    Life { id: SmolStr::new(id), born: 1 }
}

pub fn done() -> OrderEnd {
    OrderEnd::Answered(OrderAnswer::Done(Some(SmolStr::new("handover"))))
}

/// A keeper with what it needs, whose plans are stored at once.
pub struct Assigner {
    pub keeper: Keeper,
    pub fences: Fences,
    pub version: u64,
    pub now: Millis,
}

impl Assigner {
    pub fn new(servers: &[RegisteredServer]) -> Assigner {
        let mut keeper = Keeper::new();
        keeper.on_servers(START, servers.iter());
        Assigner { keeper, fences: Fences::default(), version: 0, now: START }
    }

    /// Another assigner continues from what this one has stored, and finds these servers.
    pub fn taken_over(self, servers: &[RegisteredServer]) -> Assigner {
        let mut keeper = Keeper::new();
        keeper.adopt(self.now, &self.keeper.assigned(), LONGEST_HOLD);
        keeper.on_servers(self.now, servers.iter());
        Assigner { keeper, ..self }
    }

    /// Goes one step on, and returns the orders of it.
    pub fn step(&mut self, hold: Millis) -> Vec<OrderToSend> {
        self.now += STEP;
        if self.keeper.plan(self.now, self.version + 1, &mut self.fences) {
            self.version += 1;
            self.keeper.on_stored(self.version);
        }
        self.keeper.orders(self.now, hold)
    }

    /// Goes on for a time in which every order is answered at once, and those that follow too.
    pub fn run(&mut self, length: Millis) -> Vec<OrderToSend> {
        let end = self.now + length;
        let mut all = Vec::new();
        while self.now < end {
            let mut due = self.step(HOLD);
            while !due.is_empty() {
                for order in &due {
                    self.keeper.on_order_ended(self.now, order.flight, &done());
                }
                all.append(&mut due);
                due = self.keeper.orders(self.now, HOLD);
            }
        }
        all
    }
}

pub fn is_grant(order: &OrderToSend) -> bool {
    matches!(order.order, Order::Grant { .. })
}
