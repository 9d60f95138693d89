use {
    serde::Serialize,
    smol_str::{SmolStr, format_smolstr},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
};

/// The version of this program.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The commit that it was built from, if it was known.
const COMMIT: Option<&str> = option_env!("ORIOLEHOIST_COMMIT");
/// The maximum length of the name of a build. A longer one of another daemon is cut off, so that it
/// does not fill logs and metrics.
const MAX_LENGTH: usize = 64;
/// The maximum number of builds that are told apart, because each is a time series of the metrics.
pub const MAX_SHOWN_BUILDS: usize = 8;

/// Returns the name of this build: its version and, if the environment variable `ORIOLEHOIST_COMMIT` was
/// set when it was compiled, a plus sign with the commit.
pub fn build_name() -> SmolStr {
    match COMMIT {
        Some(commit) if !commit.is_empty() => format_smolstr!("{VERSION}+{commit}"),
        _ => SmolStr::new_static(VERSION),
    }
}

/// Returns the name that another daemon has sent for its build, as it is shown in logs and metrics:
/// `unknown` if there is none, with only printable ASCII characters, and of limited length.
pub fn shown_build(build: Option<&str>) -> SmolStr {
    let is_shown = |c: &char| c.is_ascii_graphic() && !matches!(c, '"' | '\\');
    let shown: String =
        build.unwrap_or_default().chars().filter(is_shown).take(MAX_LENGTH).collect();
    match shown.is_empty() {
        true => SmolStr::new_static("unknown"),
        false => shown.into(),
    }
}

/// How many daemons run which build.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BuildCounts(BTreeMap<SmolStr, usize>);

impl BuildCounts {
    /// Counts the builds of daemons, as they have named them.
    pub fn of<'a>(builds: impl IntoIterator<Item = Option<&'a str>>) -> BuildCounts {
        let mut counts = BTreeMap::new();
        for build in builds {
            *counts.entry(shown_build(build)).or_default() += 1;
        }
        BuildCounts(counts)
    }

    /// Returns the builds with the numbers of daemons, the most frequent first. All but
    /// [`MAX_SHOWN_BUILDS`] are counted together as `other`.
    pub fn bounded(&self) -> Vec<(&str, usize)> {
        let mut counts: Vec<(&str, usize)> =
            self.0.iter().map(|(build, count)| (build.as_str(), *count)).collect();
        counts.sort_by_key(|(_, count)| Reverse(*count));
        let others = counts.split_off(counts.len().min(MAX_SHOWN_BUILDS));
        let others: usize = others.into_iter().map(|(_, count)| count).sum();
        counts.extend((others > 0).then_some(("other", others)));
        counts
    }
}

impl Display for BuildCounts {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, (build, count)) in self.bounded().into_iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{build}:{count}")?;
        }
        Ok(())
    }
}
