//! A study: which scripts, with how many gateways, which seeds and which variants. Read from TOML, checked whole.

use crate::script::Script;
use ottervane_control::storm::StormSettings;
use ottervane_settings::{Document, Table};
use std::path::{Path, PathBuf};

/// The most runs of one study: more is a slip of the pen.
const MOST_RUNS: usize = 100_000;

/// What is compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Variant {
    /// Its name in tables.
    pub name: String,
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
    /// Whether one gateway that sees everything at once stands beside each script, as the bound.
    pub oracle: bool,
    /// What is compared; the first is what the others are held against.
    pub variants: Vec<Variant>,
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
    /// What a file holds is not as it should be.
    #[error("{0}")]
    Wrong(#[from] ottervane_settings::Problems),
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
            let file = table.need::<String>("file").unwrap_or_default();
            named.push((beside(file), gateways(&table).unwrap_or_else(|| default.clone())));
            table.finish();
        }
        if named.is_empty() {
            root.wrong("script", "is missing: name at least one [[script]] with its file");
        }
        let mut variants = Vec::new();
        for table in root.tables("variant") {
            let name = table.need::<String>("name").unwrap_or_default();
            let program = table.get::<String>("program").map(beside);
            let settings = table.get::<String>("settings").map(beside);
            variants.push(Variant { name, storm: None, program, settings });
            table.finish();
        }
        if variants.is_empty() {
            variants.push(Variant { name: "this".into(), storm: None, program: None, settings: None });
        }
        let seeds = root.within("seeds", 1..=1000, 10u64);
        let runs: usize = named.iter().map(|(_, g)| g.len()).sum::<usize>() * variants.len() * seeds as usize;
        if runs > MOST_RUNS {
            root.wrong("seeds", format!("makes {runs} runs, {MOST_RUNS} at most"));
        }
        let (name, about) =
            (root.need::<String>("name").unwrap_or_default(), root.or("about", String::new()));
        let oracle = root.or("oracle", false);
        let mut study = document.check(Study { name, about, played: Vec::new(), seeds, oracle, variants })?;
        for variant in &mut study.variants {
            variant.storm = variant.settings.as_deref().map(storm).transpose()?.flatten();
        }
        for (file, gateways) in named {
            let script = Script::parse(&file.display().to_string(), &text_of(&file)?)?;
            study.played.push(Played { file, script, gateways });
        }
        Ok(study)
    }
}

/// The numbers of gateways that a table names.
fn gateways(table: &Table<'_, '_>) -> Option<Vec<usize>> {
    let list = table.get::<Vec<u64>>("gateways")?;
    if list.is_empty() || list.iter().any(|g| !(1..=10_000).contains(g)) {
        table.wrong("gateways", "must be a list of numbers from 1 to 10000");
        return None;
    }
    Some(list.into_iter().map(|g| g as usize).collect())
}
