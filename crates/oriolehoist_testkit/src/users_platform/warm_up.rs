use {
    crate::users_platform::{Deployment, Server, deployment::registration},
    serde_json::Value,
    std::time::Duration,
};

impl Deployment {
    /// Writes a configuration with these fields `warmup_s` and `warmup_per_s` of both services.
    pub fn publish_warm_up(&mut self, seconds: impl Into<Value>, per_second: impl Into<Value>) {
        self.warm_up = [seconds.into(), per_second.into()];
        self.publish_configuration();
    }

    /// Writes a configuration with this timeout and this latency objective of all routes.
    pub fn publish_route_times(&mut self, timeout: Duration, latency_objective: Duration) {
        self.route_times = [timeout, latency_objective];
        self.publish_configuration();
    }

    /// Writes a configuration with this maximum size of the body of a request.
    pub fn publish_max_body_bytes(&mut self, bytes: u64) {
        self.max_body_bytes = bytes;
        self.publish_configuration();
    }

    /// Updates a server's registration with this field `warmup_left_ms`.
    pub fn register_warm_up(&self, server: &Server, service: &str, left_ms: impl Into<Value>) {
        let mut entry = registration(
            server.address,
            server.born,
            self.zone_at(server.address),
            service,
            "ready",
        );
        entry["warmup_left_ms"] = left_ms.into();
        self.store.put(&format!("servers/{}", server.id), entry.to_string().as_bytes());
    }
}
