//! The operators' command line, as a process against a running site.

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
    folder: PathBuf,
}

impl Operator {
    fn of(cluster: &Cluster) -> Operator {
        let store = cluster.operator_endpoints().1.to_string();
        Operator { store, folder: cluster.work_dir().to_owned() }
    }

    fn run(&self, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_oriolectl")).args(words).output().expect("oriolectl runs")
    }

    fn at_store(&self, words: &[&str]) -> Output {
        self.run(&[words, &["--store", &self.store]].concat())
    }

    fn json(&self, words: &[&str]) -> Json {
        let output = self.at_store(&[&["--json"], words].concat());
        serde_json::from_slice(&output.stdout).unwrap_or(Json::Null)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("a file in the test's folder");
        path.display().to_string()
    }
}

fn code(output: &Output) -> Option<i32> {
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
async fn an_operator_edits_drains_and_looks_back() -> eyre::Result<()> {
    let cluster = start().await?;
    let operator = Operator::of(&cluster);
    let shown = text(&operator.at_store(&["show"]).stdout);
    expect_that!(shown, starts_with("// oriolehoist settings, version 1\n"));

    let mine = operator.file("mine.jsonc", &shown.replace("\"slots\": 2", "\"slots\": 3"));
    let differs = text(&operator.at_store(&["diff", &mine]).stdout);
    expect_that!(differs, contains_substring("~ services.reservation.server.slots: 2 -> 3"));
    let daemons: Vec<String> =
        cluster.daemons.iter().map(|d| d.operator_address.to_string()).collect();
    let waits = ["--wait-for", &daemons[0], "--wait-for", &daemons[1]];
    let applied = operator.at_store(&[&["apply", &mine][..], &waits].concat());
    expect_that!(code(&applied), some(eq(0)), "{}", text(&applied.stderr));
    expect_that!(text(&applied.stdout), contains_substring("version 2 is in force everywhere"));

    // The same start, another place: merged. The same place: refused with both sides.
    let other = operator.file("other.jsonc", &shown.replace("\"moves\": 1", "\"moves\": 2"));
    expect_that!(operator.json(&["apply", &other])["merged"], eq(&Json::Bool(true)));
    let clash = operator.file("clash.jsonc", &shown.replace("\"slots\": 2", "\"slots\": 9"));
    let refused = operator.at_store(&["apply", &clash]);
    expect_that!(code(&refused), some(eq(1)));
    expect_that!(
        text(&refused.stderr),
        contains_substring("services.reservation.server.slots: was 2, in force is 3")
    );
    expect_that!(cluster.daemons.len(), eq(2));

    let drained = operator.at_store(&["drain", "reservation", "reservation-4"]);
    expect_that!(code(&drained), some(eq(0)));
    let unknown = operator.at_store(&["drain", "reservation", "reservation-99"]);
    expect_that!(code(&unknown), some(eq(1)));
    let history = operator.json(&["history"]);
    let versions: Vec<u64> =
        history.as_array().into_iter().flatten().filter_map(|v| v["version"].as_u64()).collect();
    expect_that!(versions, container_eq([4, 3, 2, 1]));
    let effective = text(&operator.at_store(&["show", "reservation"]).stdout);
    expect_that!(effective, contains_regex("server.slots +3 +from services.reservation\n"));
    let status = operator.run(&["status", "--daemon", &daemons[0]]);
    expect_that!(text(&status.stdout), contains_substring("reservation: term"));
    cluster.clean_up();
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn faults_and_absence_have_exit_codes_of_their_own() -> eyre::Result<()> {
    let cluster = start().await?;
    let operator = Operator::of(&cluster);
    let faulty =
        operator.file("faulty.jsonc", "{ \"site\": \"x\", \"zones\": [], \"servces\": {} }");
    let checked = operator.run(&["check", &faulty]);
    expect_that!(code(&checked), some(eq(1)));
    expect_that!(text(&checked.stderr), contains_substring("line 1, column 29: servces"));
    expect_that!(code(&operator.at_store(&["apply", &faulty, "--base", "1"])), some(eq(1)));
    expect_that!(operator.json(&["history"])[0]["version"], eq(&Json::from(1)));
    let correct = operator.file("ok.jsonc", &cluster.site.settings(&cluster.targets()));
    expect_that!(code(&operator.run(&["check", &correct])), some(eq(0)));
    // Without the version that it was made from, a document could undo others' edits.
    expect_that!(code(&operator.at_store(&["apply", &correct])), some(eq(1)));
    let nobody = operator.run(&["status", "--daemon", "127.0.0.1:1"]);
    expect_that!(code(&nobody), some(eq(3)));
    expect_that!(code(&operator.run(&["no-such-command"])), some(eq(1)));
    let release = operator.at_store(&["release", "reservation"]);
    expect_that!(code(&release), some(eq(1)));
    expect_that!(text(&release.stderr), contains_substring("entry-1 at"));
    cluster.clean_up();
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_learns_why_and_the_receipt_proves_it() -> eyre::Result<()> {
    let cluster = start().await?;
    let operator = Operator::of(&cluster);
    let url = format!("http://{}/reservation/book", cluster.daemons[0].caller_address);
    let client = reqwest::Client::builder().no_proxy().build()?;
    let refused = client.post(url).header("oriolehoist-request-id", "b1").send().await?;
    expect_that!(refused.status().as_u16(), eq(400));
    let body: Json = refused.json().await?;
    expect_that!(body["refusal"], eq(&Json::from("missing-key")));
    expect_that!(body["run_state"], eq(&Json::from("not-run")));
    let receipt = body["receipt"].as_str().unwrap_or_default().to_owned();
    let key = format!("k1={}", cluster.work_dir().join("receipt.key").display());
    let told = operator.run(&["why", &receipt, "--key", &key]);
    expect_that!(code(&told), some(eq(0)));
    expect_that!(text(&told.stdout), contains_substring("missing-key: The service needs a key."));
    expect_that!(text(&told.stdout), contains_substring("by entry-1"));
    let forged = format!("{}A", &receipt[..receipt.len() - 1]);
    let forged = if forged == receipt { format!("{receipt}A") } else { forged };
    expect_that!(code(&operator.run(&["why", &forged, "--key", &key])), some(eq(1)));
    expect_that!(code(&operator.run(&["why", &receipt])), some(eq(1)));
    cluster.clean_up();
    Ok(())
}

#[gtest]
fn every_event_is_in_the_catalogue() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EVENTS.md");
    let page = fs::read_to_string(page).expect("the catalogue");
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
