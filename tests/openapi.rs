//! Checks that the committed OpenAPI document matches the handlers.

#[test]
fn the_committed_document_matches_the_handlers() {
    let committed = include_str!("../docs/openapi.json");
    assert!(
        committed == pistachioyard::openapi_document(),
        "docs/openapi.json is out of date; run `pistachioyard openapi > docs/openapi.json`"
    );
}
