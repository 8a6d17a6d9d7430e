//! A study: scripts, numbers of gateways, seeds and variants. It is read from TOML and checked as a whole.

use super::run::ORACLE;
use crate::script::Script;
use std::path::{Path, PathBuf};
use weldworks_config::{Document, Table};
use weldworks_control::retry_storm::StormSettings;

/// Greatest number of runs of a study; a study with more is taken for a typing error.
const MAX_RUNS: usize = 100_000;

/// A variant of the gateways or of the scripts, which a study compares with its other variants.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Name of the variant in tables.
    pub name: String,
    /// Changes to every script, as `key = value` with the table in the key: `fleet.cold_from = 1.0`.
    pub set: Vec<String>,
    /// Whether gateways of this variant are plain proxies, without the balancer.
    pub plain: bool,
    /// Storm control, if the settings file of the variant enables it.
    pub storm: Option<StormSettings>,
    /// Another build of the test bed; `None` for this build.
    pub program: Option<PathBuf>,
    /// Settings file of the operator, which is passed to another build.
    pub settings: Option<PathBuf>,
}

/// A script of a study, with the numbers of gateways that it is run with.
#[derive(Clone, Debug, PartialEq)]
pub struct StudyScript {
    /// Path of the script.
    pub file: PathBuf,
    /// The script as its file has it.
    pub script: Script,
    /// The script as each variant changes it; `None` where a variant changes nothing.
    pub changed: Vec<Option<Script>>,
    /// Numbers of gateways that the script is run with.
    pub gateways: Vec<usize>,
}

/// A study: the scripts to run and the variants to compare.
#[derive(Clone, Debug, PartialEq)]
pub struct Study {
    /// Name of the study.
    pub name: String,
    /// Purpose of the study, in one line.
    pub about: String,
    /// Scripts of the study.
    pub scripts: Vec<StudyScript>,
    /// Number of seeds, counted from 1.
    pub seeds: u64,
    /// Whether the upper bound is run as well: one balancer that receives the events of all gateways.
    pub oracle: bool,
    /// Variants that are compared; the first is the baseline of the others.
    pub variants: Vec<Variant>,
}

impl Variant {
    /// A variant of this build that changes nothing.
    pub fn plain(name: &str) -> Variant {
        Variant {
            name: name.into(),
            set: Vec::new(),
            plain: false,
            storm: None,
            program: None,
            settings: None,
        }
    }
}

/// The text of a script after the changes of a variant; an error names the change that is not valid TOML.
fn apply_changes(file: &str, text: &str, set: &[String]) -> Result<String, StudyError> {
    let invalid = |set: &str, why: String| StudyError::Set { file: file.into(), set: set.into(), why };
    let mut script: toml::Table =
        toml::from_str(text).map_err(|error| invalid("the script", error.to_string()))?;
    for line in set {
        let change: toml::Table = toml::from_str(line).map_err(|error| invalid(line, error.to_string()))?;
        merge_tables(&mut script, change);
    }
    toml::to_string(&script).map_err(|error| invalid("the script", error.to_string()))
}

fn merge_tables(base: &mut toml::Table, changes: toml::Table) {
    for (key, value) in changes {
        match (base.get_mut(&key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(changes)) => merge_tables(base, changes),
            (_, value) => {
                base.insert(key, value);
            }
        }
    }
}

/// Reason why a study can't be read.
#[derive(Debug, thiserror::Error)]
pub enum StudyError {
    /// A file of the study can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// A change of a variant can't be applied to a script.
    #[error("{file} with set = {set:?}: {why}")]
    Set {
        /// File of the script.
        file: String,
        /// The change, as the study has it.
        set: String,
        /// Error of the TOML parser.
        why: String,
    },
    /// The content of a study, script or settings file is invalid.
    #[error("{0}")]
    Invalid(#[from] weldworks_config::Problems),
}

fn text_of(path: &Path) -> Result<String, StudyError> {
    std::fs::read_to_string(path)
        .map_err(|source| StudyError::Unreadable { file: path.display().to_string(), source })
}

/// Storm control, if the operator's settings file enables it.
///
/// # Errors
/// The file can't be read or its table `[storm]` is invalid.
pub fn storm(path: &Path) -> Result<Option<StormSettings>, StudyError> {
    let (name, text) = (path.display().to_string(), text_of(path)?);
    let document = Document::parse(&name, &text)?;
    let storm = document.root().table("storm").map(|table| StormSettings::read(&table));
    Ok(document.check(storm)?)
}

impl Study {
    /// Reads a study; paths in it are relative to its folder.
    ///
    /// # Errors
    /// All problems of the study, with line and key; or the first file named in the study that can't be used.
    pub fn read(path: &Path) -> Result<Study, StudyError> {
        let (file, text) = (path.display().to_string(), text_of(path)?);
        let beside = |name: String| path.parent().unwrap_or(Path::new("")).join(name);
        let document = Document::parse(&file, &text)?;
        let root = document.root();
        let default: Vec<usize> = gateways(&root).unwrap_or_else(|| vec![45]);
        let mut named = Vec::new();
        for table in root.tables("script") {
            let file = table.require::<String>("file").unwrap_or_default();
            named.push((beside(file), gateways(&table).unwrap_or_else(|| default.clone())));
            table.finish();
        }
        if named.is_empty() {
            root.report("script", "is missing: name at least one [[script]] with its file");
        }
        let mut variants = Vec::new();
        for table in root.tables("variant") {
            let name = table.require::<String>("name").unwrap_or_default();
            let program = table.get::<String>("program").map(beside);
            let settings = table.get::<String>("settings").map(beside);
            let set = table.get_or("set", Vec::new());
            let plain = table.get_or("plain", false);
            if plain && (program.is_some() || settings.is_some()) {
                table.report("plain", "is not allowed with program or settings: a plain gateway has neither");
            }
            if name == ORACLE || variants.iter().any(|other: &Variant| other.name == name) {
                table.report("name", format!("{name:?} is taken: each variant needs a name of its own"));
            }
            if program.is_some() && !set.is_empty() {
                table.report(
                    "set",
                    "is allowed with this build only: another build reads the script's file itself",
                );
            }
            variants.push(Variant { name, set, plain, storm: None, program, settings });
            table.finish();
        }
        if variants.is_empty() {
            variants.push(Variant::plain("this"));
        }
        let seeds = root.get_in_range("seeds", 1..=1000, 10u64);
        let runs: usize =
            named.iter().map(|(_, gateways)| gateways.len()).sum::<usize>() * variants.len() * seeds as usize;
        if runs > MAX_RUNS {
            root.report("seeds", format!("makes {runs} runs; {MAX_RUNS} are allowed"));
        }
        let (name, about) =
            (root.require::<String>("name").unwrap_or_default(), root.get_or("about", String::new()));
        let oracle = root.get_or("oracle", false);
        root.finish();
        let mut study =
            document.check(Study { name, about, scripts: Vec::new(), seeds, oracle, variants })?;
        for variant in &mut study.variants {
            variant.storm = variant.settings.as_deref().map(storm).transpose()?.flatten();
        }
        for (file, gateways) in named {
            let (name, text) = (file.display().to_string(), text_of(&file)?);
            let script = Script::parse(&name, &text)?;
            let mut changed = Vec::new();
            for variant in &study.variants {
                changed.push(match variant.set.as_slice() {
                    [] => None,
                    // Line numbers in errors are those of the changed text, so the error names the variant as well as the file.
                    set => {
                        let changed = format!("{name} as variant {:?} sets it", variant.name);
                        Some(Script::parse(&changed, &apply_changes(&name, &text, set)?)?)
                    }
                });
            }
            study.scripts.push(StudyScript { file, script, changed, gateways });
        }
        Ok(study)
    }
}

/// The numbers of gateways in a table of a study; `None` where the key is missing or invalid.
fn gateways(table: &Table<'_, '_>) -> Option<Vec<usize>> {
    let list = table.get::<Vec<u64>>("gateways")?;
    if list.is_empty() || list.iter().any(|count| !(1..=10_000).contains(count)) {
        table.report("gateways", "must be a list of numbers from 1 to 10000");
        return None;
    }
    Some(list.into_iter().map(|count| count as usize).collect())
}
