//! A study: which scripts, with how many gateways, which seeds and which variants. Read from TOML, checked whole.

use super::run::ORACLE;
use crate::script::Script;
use std::path::{Path, PathBuf};
use weldworks_config::{Document, Table};
use weldworks_control::retry_storm::StormSettings;

/// The most runs of one study: more is a slip of the pen.
const MOST_RUNS: usize = 100_000;

/// What is compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Its name in tables.
    pub name: String,
    /// What it changes in every script, as `key = value` below the key of a table: `fleet.cold_from = 1.0`.
    pub set: Vec<String>,
    /// Its gateways are plain ones: the module decides nothing.
    pub plain: bool,
    /// Storm control, where its settings file switches it on.
    pub storm: Option<StormSettings>,
    /// Another build of the rig; none for this one.
    pub program: Option<PathBuf>,
    /// The operator's file, as another build is given it.
    pub settings: Option<PathBuf>,
}

/// A script and its numbers of gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    /// Where it stands.
    pub file: PathBuf,
    /// The script.
    pub script: Script,
    /// What each variant makes of it; none where it is the same.
    pub changed: Vec<Option<Script>>,
    /// With how many gateways.
    pub gateways: Vec<usize>,
}

/// A study.
#[derive(Clone, Debug, PartialEq)]
pub struct Study {
    /// Its name.
    pub name: String,
    /// What it is to show, in a line.
    pub about: String,
    /// What is played.
    pub played: Vec<Played>,
    /// Seeds from 1 to this one.
    pub seeds: u64,
    /// Whether one decision module that is fed the events of all gateways stands beside each row, as the bound.
    pub oracle: bool,
    /// What is compared; the first is what the others are held against.
    pub variants: Vec<Variant>,
}

impl Variant {
    /// This build, with nothing changed.
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

/// A script's text with some of its keys set anew; what can't be set that way is told as what it is.
fn with(file: &str, text: &str, set: &[String]) -> Result<String, StudyError> {
    let wrong = |what: &str, why: String| StudyError::Set { file: file.into(), set: what.into(), why };
    let mut script: toml::Table = toml::from_str(text).map_err(|e| wrong("the script", e.to_string()))?;
    for line in set {
        let change: toml::Table = toml::from_str(line).map_err(|e| wrong(line, e.to_string()))?;
        lay_over(&mut script, change);
    }
    toml::to_string(&script).map_err(|e| wrong("the script", e.to_string()))
}

fn lay_over(under: &mut toml::Table, over: toml::Table) {
    for (key, value) in over {
        match (under.get_mut(&key), value) {
            (Some(toml::Value::Table(under)), toml::Value::Table(over)) => lay_over(under, over),
            (_, value) => {
                under.insert(key, value);
            }
        }
    }
}

/// Why a study can't be read.
#[derive(Debug, thiserror::Error)]
pub enum StudyError {
    /// A file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Which.
        file: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// What a variant sets can't be set.
    #[error("{file} with set = {set:?}: {why}")]
    Set {
        /// The script's file.
        file: String,
        /// What is set.
        set: String,
        /// What the parser says.
        why: String,
    },
    /// What a file holds is not as it should be.
    #[error("{0}")]
    Wrong(#[from] weldworks_config::Problems),
}

fn text_of(path: &Path) -> Result<String, StudyError> {
    std::fs::read_to_string(path)
        .map_err(|source| StudyError::Unreadable { file: path.display().to_string(), source })
}

/// Storm control, where an operator's file switches it on.
///
/// # Errors
/// Where the file can't be read or its table `[storm]` is not as it should be.
pub fn storm(path: &Path) -> Result<Option<StormSettings>, StudyError> {
    let (name, text) = (path.display().to_string(), text_of(path)?);
    let document = Document::parse(&name, &text)?;
    let storm = document.root().table("storm").map(|table| StormSettings::read(&table));
    Ok(document.check(storm)?)
}

impl Study {
    /// Reads a study; files that it names are looked for beside it.
    ///
    /// # Errors
    /// All that is wrong with it, with line and key; or the first file that it names and that can't be used.
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
                table.report("plain", "goes with neither program nor settings: a plain gateway has none");
            }
            if name == ORACLE || variants.iter().any(|v: &Variant| v.name == name) {
                table.report("name", format!("{name:?} is taken: rows are told apart by it"));
            }
            if program.is_some() && !set.is_empty() {
                table.report("set", "goes with this build: another one reads the script's file itself");
            }
            variants.push(Variant { name, set, plain, storm: None, program, settings });
            table.finish();
        }
        if variants.is_empty() {
            variants.push(Variant::plain("this"));
        }
        let seeds = root.get_in_range("seeds", 1..=1000, 10u64);
        let runs: usize = named.iter().map(|(_, g)| g.len()).sum::<usize>() * variants.len() * seeds as usize;
        if runs > MOST_RUNS {
            root.report("seeds", format!("makes {runs} runs, {MOST_RUNS} at most"));
        }
        let (name, about) =
            (root.require::<String>("name").unwrap_or_default(), root.get_or("about", String::new()));
        let oracle = root.get_or("oracle", false);
        root.finish();
        let mut study = document.check(Study { name, about, played: Vec::new(), seeds, oracle, variants })?;
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
                    // The lines are those of the changed text, so the variant is named beside the file.
                    set => {
                        let changed = format!("{name} as variant {:?} sets it", variant.name);
                        Some(Script::parse(&changed, &with(&name, &text, set)?)?)
                    }
                });
            }
            study.played.push(Played { file, script, changed, gateways });
        }
        Ok(study)
    }
}

/// The numbers of gateways that a table names.
fn gateways(table: &Table<'_, '_>) -> Option<Vec<usize>> {
    let list = table.get::<Vec<u64>>("gateways")?;
    if list.is_empty() || list.iter().any(|g| !(1..=10_000).contains(g)) {
        table.report("gateways", "must be a list of numbers from 1 to 10000");
        return None;
    }
    Some(list.into_iter().map(|g| g as usize).collect())
}
