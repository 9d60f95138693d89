//! The users' two sites with their real sizes, and the settings for them.

use {
    oriolehoist_protocol::{ServerName, ServiceName, ZoneName},
    oriolehoist_time::Millis,
    std::{fmt::Write, net::SocketAddr},
};

/// A site with its availability zones and services.
#[derive(Clone, Debug)]
pub struct Site {
    /// The site's name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: Vec<&'static str>,
    /// Its services.
    pub services: Vec<SiteService>,
    /// Additional members of the settings document, as JSON text that ends with a comma.
    pub extra_settings: String,
}

/// A service of a site.
#[derive(Clone, Debug)]
pub struct SiteService {
    /// The service's name.
    pub name: &'static str,
    /// Whether each key is owned by one server.
    pub keyed: bool,
    /// Number of backend servers.
    pub server_count: usize,
    /// Number of requests that each server runs concurrently.
    pub slots: u32,
    /// Number of connections that each server accepts.
    pub connections: u32,
    /// How long a server takes to run a request.
    pub service_time: Millis,
    /// Additional members of the service's settings, as JSON text that ends with a comma.
    pub extra_settings: String,
}

/// A backend server's entry in the settings of a site.
#[derive(Clone, Debug)]
pub struct SiteTarget {
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The server's name.
    pub server: ServerName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which daemons reach it.
    pub address: SocketAddr,
}

/// Villacrés: tides and bookings, sharded by key, and almanacs.
pub fn villacres() -> Site {
    Site {
        name: "villacres",
        zones: vec!["malecon", "puna", "posorja", "duran"],
        services: vec![
            service("mareas-live", true, 15, 6, 110, 4),
            service("almanaque", false, 10, 6, 110, 12),
        ],
        extra_settings: String::new(),
    }
}

/// Sfax: laundry bookings, sharded by key, and machine history.
pub fn sfax() -> Site {
    Site {
        name: "sfax",
        zones: vec!["sfax-medina", "sfax-sakiet", "sfax-thyna"],
        services: vec![
            service("reservation", true, 20, 2, 45, 4),
            service("caretaker-desk", false, 10, 2, 45, 12),
        ],
        extra_settings: r#""placement": { "moves": 1, "imbalance_percent": 150 },"#.into(),
    }
}

/// Returns the site with this name.
pub fn by_name(name: &str) -> Option<Site> {
    match name {
        "villacres" => Some(villacres()),
        "sfax" => Some(sfax()),
        _ => None,
    }
}

fn service(
    name: &'static str,
    keyed: bool,
    server_count: usize,
    slots: u32,
    connections: u32,
    service_time_ms: u64,
) -> SiteService {
    SiteService {
        name,
        keyed,
        server_count,
        slots,
        connections,
        service_time: Millis(service_time_ms),
        extra_settings: String::new(),
    }
}

impl Site {
    /// Returns the site's sharded service.
    ///
    /// # Panics
    ///
    /// Panics if the site has none.
    pub fn keyed_service(&self) -> &SiteService {
        self.services.iter().find(|s| s.keyed).expect("each site has a sharded service")
    }

    /// Builds the settings document of the site.
    pub fn settings(&self, targets: &[SiteTarget]) -> String {
        let mut text = String::from("{\n");
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("{zone:?}")).collect();
        let _ = writeln!(text, "  \"site\": {:?},", self.name);
        let _ = writeln!(text, "  \"zones\": [{}],", zones.join(", "));
        let _ = writeln!(text, "  {}", self.extra_settings);
        text.push_str("  \"services\": {\n");
        for (index, service) in self.services.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let _ = write!(text, "    {comma}{:?}: ", service.name);
            write_service(&mut text, service, targets);
        }
        text.push_str("  }\n}\n");
        text
    }
}

fn write_service(text: &mut String, service: &SiteService, targets: &[SiteTarget]) {
    let (slots, connections) = (service.slots, service.connections);
    let _ = writeln!(text, "{{\n      \"keyed\": {},", service.keyed);
    let _ = writeln!(
        text,
        "      \"server\": {{ \"slots\": {slots}, \"connections\": {connections} }},"
    );
    let _ = writeln!(text, "      {}", service.extra_settings);
    text.push_str("      // Each backend server, with its address and availability zone.\n");
    text.push_str("      \"targets\": {\n");
    let matching = targets.iter().filter(|t| t.service.as_str() == service.name);
    for (index, target) in matching.enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let _ = writeln!(
            text,
            "        {comma}\"{}\": {{ \"address\": \"{}\", \"zone\": \"{}\" }}",
            target.server, target.address, target.zone
        );
    }
    text.push_str("      }\n    }\n");
}
