//! Tests of how the arguments of `fleet require` are parsed.

use super::*;

#[test]
fn requirements_are_parsed_or_rejected_with_an_example() {
    let requirements =
        parse_requirements(Some("127.0.0.1:1=42"), Some("00ff"), None).expect("valid arguments");
    assert_eq!(requirements.list.map(|list| (list.lineage, list.index)), Some(("127.0.0.1:1".into(), 42)));
    assert_eq!(requirements.config, Some(255));
    for wrong in ["42", "r=", "r=x"] {
        let error = parse_requirements(Some(wrong), None, None)
            .expect_err("an error for a list that is not LINEAGE=INDEX");
        assert!(error.to_string().contains("LINEAGE=INDEX"), "{error}");
    }
    assert!(parse_requirements(None, Some("xyz"), None).is_err());
}
