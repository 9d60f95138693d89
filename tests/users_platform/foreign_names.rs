//! Tests of entries that another writer stored under a name of its own.

use {
    crate::load::*,
    futures::future::join_all,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    std::{collections::BTreeSet, env, time::Duration},
    tokio::time::sleep,
};

/// Names with characters that have a meaning in URLs. They sort before those of the servers, and read as
/// part of a query without escaping, they name a key that sorts before themselves.
const RESERVED_NAMES: [&str; 8] =
    ["R&D-gateway", "b+b", "c#1", "d%", "e%21", "f g", "h=1&after=a", "&"];

/// Other names of up to 200 bytes: they sort before, between or behind those of the servers, or are no words.
const ODD_NAMES: [&str; 14] = [
    "!",
    "~",
    "/",
    "/i-0",
    "i-0/",
    "i-0 ",
    " i-0",
    "i-0\n",
    "i-0\" b=\"c",
    "\u{e9}\u{1f9ed}",
    "\u{0}",
    "?prefix=op/",
    "i-1%00",
    "..",
];

/// How many names are drawn at random in addition, and from which characters.
const RANDOM_NAMES: usize = 40;
const RANDOM_CHARACTERS: &str = "&+#%=?/ ;:@\"'<>\\\t\r\nai-012z\u{e9}\u{10ffff}";

/// How long daemons that were all killed and started again may take to serve.
const RECOVERY_TIME: Duration = SECOND.saturating_mul(5);

/// Returns names that are drawn at random. The seed is that of the variable `ORIOLEHOIST_SEED`.
fn random_names() -> Vec<String> {
    let seed = env::var("ORIOLEHOIST_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(52);
    let mut rng = fastrand::Rng::with_seed(seed);
    let characters: Vec<char> = RANDOM_CHARACTERS.chars().collect();
    let mut name = || -> String {
        let length = rng.usize(1..=12);
        (0..length).map(|_| characters[rng.usize(..characters.len())]).collect()
    };
    (0..RANDOM_NAMES).map(|_| name()).collect()
}

/// Restarts all daemons of a deployment at the same time.
fn restart_all(deployment: &mut Deployment) -> eyre::Result<()> {
    deployment.daemons.iter_mut().for_each(Daemon::kill);
    deployment.daemons.iter_mut().try_for_each(Daemon::start)
}

/// Puts an entry under `name` into the list of servers, which is read one item a page, and restarts all
/// daemons. Returns the share of the requests that is served then.
async fn served_beside_entry(name: &str) -> eyre::Result<f64> {
    let mut deployment = deployment(2, 2, 2).await?;
    deployment.store.set_page_size(1);
    deployment.store.put(&format!("servers/{name}"), b"{\"kind\":\"gateway\"}");
    restart_all(&mut deployment)?;
    sleep(RECOVERY_TIME).await;
    let requests_before = deployment.store.request_count();
    let load = Load::start(caller_addresses(&deployment), "foreign")?;
    sleep(SECOND * 2).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    let requests = deployment.store.request_count() - requests_before;
    // The limit is 5 requests per second in steady state, for 4 s.
    expect_that!(requests, le(20), "{name:?}");
    clean_up(deployment);
    Ok(served_share(&responses))
}

/// Guards against daemons that read the list of servers in circles because a name in it is read as part of
/// the query, and that serve nothing after a restart.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_after_a_restart_beside_an_entry_with_reserved_characters() -> eyre::Result<()>
{
    for names in RESERVED_NAMES.chunks(4) {
        for (name, share) in
            names.iter().zip(join_all(names.iter().map(|n| served_beside_entry(n))).await)
        {
            expect_that!(share?, ge(0.98), "{name:?}");
        }
    }
    Ok(())
}

/// Guards against a list that ends early, or never, at a name of any kind.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lists_are_read_to_their_end_beside_names_of_any_kind() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    deployment.store.set_page_size(3);
    let mut names: BTreeSet<String> = ODD_NAMES.map(String::from).into();
    names.extend(RESERVED_NAMES.map(String::from));
    names.extend(["a".repeat(192), "\u{e9}".repeat(96)]);
    names.extend(random_names());
    for name in &names {
        for prefix in ["servers/", "oriolehoist/members/", "op/evacuate/"] {
            deployment.store.put(&format!("{prefix}{name}"), b"{}");
        }
    }
    restart_all(&mut deployment)?;
    sleep(RECOVERY_TIME).await;
    let load = Load::start(caller_addresses(&deployment), "names")?;
    sleep(SECOND * 2).await;
    finish_and_check(&deployment, load, 0.98).await;
    let logs: String = deployment.daemons.iter().map(Daemon::log).collect();
    let (servers, pages) = (names.len() + 4, (names.len() + 4).div_ceil(3));
    let read = format!("ServersRead: servers={servers} pages={pages} ");
    expect_that!(logs.contains(&read), eq(true), "{read}");
    clean_up(deployment);
    Ok(())
}

/// Guards against an item of another writer that is put in force as the configuration, because its key
/// begins like the configuration's.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_key_begins_like_that_of_the_configuration_is_not_put_in_force()
-> eyre::Result<()> {
    let deployment = deployment(3, 2, 2).await?;
    let config = deployment.store.get("op/config").unwrap_or_default();
    let config = String::from_utf8(config)?;
    let other = config.replace("\"00000003\"", "\"000000ff\"").replace("\"/p/\"", "\"/q/\"");
    for key in ["op/config-old", "op/config/", "op/config "] {
        deployment.store.put(key, other.as_bytes());
        sleep(SECOND / 2).await;
        deployment.store.put(key, b"no configuration");
        deployment.store.remove(key);
    }
    let load = Load::start(caller_addresses(&deployment), "config")?;
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.99).await;
    for daemon in &deployment.daemons {
        expect_that!(daemon.log().contains("SettingsInForce: version=000000ff"), eq(false));
        expect_that!(daemon.log().contains("SettingsRejected"), eq(false));
    }
    clean_up(deployment);
    Ok(())
}

/// Guards against a name that reads as lines of the log, and against requests to a server under a name that
/// can't be told to it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn names_that_no_server_can_have_get_no_requests_and_break_no_line_of_the_log()
-> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    let entry = deployment.store.get("servers/i-2").unwrap_or_default();
    let names =
        ["", "i-2\nforged line", "i-2\r\n\tforged", "i 2", " ", "i-2 ", "\u{e9}", "\u{2028}forged"];
    for name in names {
        deployment.store.put(&format!("servers/{name}"), &entry);
        deployment.store.put(&format!("oriolehoist/members/{name}"), name.as_bytes());
    }
    deployment.store.put("servers/odd", b"{\"state\":\"a\\nforged\"}");
    restart_all(&mut deployment)?;
    sleep(RECOVERY_TIME).await;
    let load = Load::start(caller_addresses(&deployment), "log")?;
    sleep(SECOND * 2).await;
    finish_and_check(&deployment, load, 0.99).await;
    for daemon in &deployment.daemons {
        let log = daemon.log();
        let is_event =
            |line: &str| line.split(' ').nth(2).is_some_and(|number| number.starts_with('E'));
        let broken: Vec<&str> = log.lines().filter(|line| !is_event(line)).collect();
        expect_that!(broken, is_empty());
        expect_that!(log.contains("\u{2028}"), eq(false));
    }
    let logs: String = deployment.daemons.iter().map(Daemon::log).collect();
    for name in names {
        let line = format!("ServerMalformed: key={:?} ", format!("servers/{name}"));
        expect_that!(logs.contains(&line) || name.is_empty(), eq(true), "{line}");
    }
    expect_that!(logs.contains("ServerMalformed: key=servers/ "), eq(true));
    clean_up(deployment);
    Ok(())
}
