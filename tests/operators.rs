//! Runs `oriolectl` as a process against a running site.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
    },
    serde_json::Value as Json,
    std::{
        fs,
        path::{Path, PathBuf},
        process::{Command, Output},
    },
};

struct Operator {
    store: String,
    work_dir: PathBuf,
}

impl Operator {
    fn new(cluster: &Cluster) -> Operator {
        let store = cluster.operator_endpoints().1.to_string();
        Operator { store, work_dir: cluster.work_dir().to_owned() }
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_oriolectl")).args(args).output().expect("oriolectl runs")
    }

    fn run_with_store(&self, args: &[&str]) -> Output {
        self.run(&[args, &["--store", &self.store]].concat())
    }

    fn run_json(&self, args: &[&str]) -> Json {
        let output = self.run_with_store(&[&["--json"], args].concat());
        serde_json::from_slice(&output.stdout).unwrap_or(Json::Null)
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.work_dir.join(name);
        fs::write(&path, text).expect("a file in the test directory can be written");
        path.display().to_string()
    }
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

async fn start() -> eyre::Result<Cluster> {
    let program = env!("CARGO_BIN_EXE_oriolehoist").into();
    Cluster::start(ClusterOptions::new(site::sfax(), 2, DaemonMode::Process(program))).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn operators_edit_settings_drain_servers_and_read_the_history() -> eyre::Result<()> {
    let cluster = start().await?;
    let operator = Operator::new(&cluster);
    let shown = text(&operator.run_with_store(&["show"]).stdout);
    expect_that!(shown, starts_with("// oriolehoist settings, version 1\n"));

    let edited = operator.write_file("mine.jsonc", &shown.replace("\"slots\": 2", "\"slots\": 3"));
    let diff = text(&operator.run_with_store(&["diff", &edited]).stdout);
    expect_that!(diff, contains_substring("~ services.reservation.server.slots: 2 -> 3"));
    let daemons: Vec<String> =
        cluster.daemons.iter().map(|d| d.operator_address.to_string()).collect();
    let wait_args = ["--wait-for", &daemons[0], "--wait-for", &daemons[1]];
    let applied = operator.run_with_store(&[&["apply", &edited][..], &wait_args].concat());
    expect_that!(exit_code(&applied), some(eq(0)), "{}", text(&applied.stderr));
    expect_that!(text(&applied.stdout), contains_substring("version 2 is in force everywhere"));

    // An edit of version 1 that changes another setting is merged. One that changes the same
    // setting is refused, and the conflicting values are shown.
    let other = operator.write_file("other.jsonc", &shown.replace("\"moves\": 1", "\"moves\": 2"));
    expect_that!(operator.run_json(&["apply", &other])["merged"], eq(&Json::Bool(true)));
    let conflicting =
        operator.write_file("clash.jsonc", &shown.replace("\"slots\": 2", "\"slots\": 9"));
    let refused = operator.run_with_store(&["apply", &conflicting]);
    expect_that!(exit_code(&refused), some(eq(1)));
    expect_that!(
        text(&refused.stderr),
        contains_substring("services.reservation.server.slots: was 2, in force is 3")
    );
    expect_that!(cluster.daemons.len(), eq(2));

    let drained = operator.run_with_store(&["drain", "reservation", "reservation-4"]);
    expect_that!(exit_code(&drained), some(eq(0)));
    let unknown = operator.run_with_store(&["drain", "reservation", "reservation-99"]);
    expect_that!(exit_code(&unknown), some(eq(1)));
    let history = operator.run_json(&["history"]);
    let versions: Vec<u64> =
        history.as_array().into_iter().flatten().filter_map(|v| v["version"].as_u64()).collect();
    expect_that!(versions, container_eq([4, 3, 2, 1]));
    let effective = text(&operator.run_with_store(&["show", "reservation"]).stdout);
    expect_that!(effective, contains_regex("server.slots +3 +from services.reservation\n"));
    let status = operator.run(&["status", "--daemon", &daemons[0]]);
    expect_that!(text(&status.stdout), contains_substring("reservation: term"));
    cluster.clean_up();
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_documents_and_unreachable_daemons_have_their_own_exit_codes() -> eyre::Result<()> {
    let cluster = start().await?;
    let operator = Operator::new(&cluster);
    let invalid =
        operator.write_file("faulty.jsonc", "{ \"site\": \"x\", \"zones\": [], \"servces\": {} }");
    let checked = operator.run(&["check", &invalid]);
    expect_that!(exit_code(&checked), some(eq(1)));
    expect_that!(text(&checked.stderr), contains_substring("line 1, column 29: servces"));
    expect_that!(
        exit_code(&operator.run_with_store(&["apply", &invalid, "--base", "1"])),
        some(eq(1))
    );
    expect_that!(operator.run_json(&["history"])[0]["version"], eq(&Json::from(1)));
    let valid = operator.write_file("ok.jsonc", &cluster.site.settings(&cluster.targets()));
    expect_that!(exit_code(&operator.run(&["check", &valid])), some(eq(0)));
    // Refused without a base version, since the document could undo the edits of others.
    expect_that!(exit_code(&operator.run_with_store(&["apply", &valid])), some(eq(1)));
    let unreachable = operator.run(&["status", "--daemon", "127.0.0.1:1"]);
    expect_that!(exit_code(&unreachable), some(eq(3)));
    expect_that!(exit_code(&operator.run(&["no-such-command"])), some(eq(1)));
    let release = operator.run_with_store(&["release", "reservation"]);
    expect_that!(exit_code(&release), some(eq(1)));
    expect_that!(text(&release.stderr), contains_substring("entry-1 at"));
    cluster.clean_up();
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_get_the_reason_and_a_verifiable_receipt() -> eyre::Result<()> {
    let cluster = start().await?;
    let operator = Operator::new(&cluster);
    let url = format!("http://{}/reservation/book", cluster.daemons[0].caller_address);
    let client = reqwest::Client::builder().no_proxy().build()?;
    let refused = client.post(url).header("oriolehoist-request-id", "b1").send().await?;
    expect_that!(refused.status().as_u16(), eq(400));
    let body: Json = refused.json().await?;
    expect_that!(body["refusal"], eq(&Json::from("missing-key")));
    expect_that!(body["run_state"], eq(&Json::from("not-run")));
    let receipt = body["receipt"].as_str().unwrap_or_default().to_owned();
    let key = format!("k1={}", cluster.work_dir().join("receipt.key").display());
    let explained = operator.run(&["why", &receipt, "--key", &key]);
    expect_that!(exit_code(&explained), some(eq(0)));
    expect_that!(
        text(&explained.stdout),
        contains_substring("missing-key: The service needs a key.")
    );
    expect_that!(text(&explained.stdout), contains_substring("by entry-1"));
    let forged = format!("{}A", &receipt[..receipt.len() - 1]);
    let forged = if forged == receipt { format!("{receipt}A") } else { forged };
    expect_that!(exit_code(&operator.run(&["why", &forged, "--key", &key])), some(eq(1)));
    expect_that!(exit_code(&operator.run(&["why", &receipt])), some(eq(1)));
    cluster.clean_up();
    Ok(())
}

#[gtest]
fn every_event_is_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EVENTS.md");
    let page = fs::read_to_string(page).expect("the list of events can be read");
    let listed: Vec<&str> = page.lines().filter(|line| line.starts_with("| E")).collect();
    let known: Vec<String> = oriolehoist::daemon::Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().as_str().to_lowercase();
            format!("| E{} | {} | {level} | ", *event as u32, event.name())
        })
        .collect();
    expect_that!(listed.len(), eq(known.len()));
    for (line, start) in listed.iter().zip(&known) {
        expect_that!(*line, starts_with(start.as_str()));
    }
}
