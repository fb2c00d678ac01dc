//! Holds the committed OpenAPI document to the handlers.

#[test]
fn the_committed_document_is_that_of_the_handlers() {
    let committed = include_str!("../docs/openapi.json");
    assert!(
        committed == pistachioyard::openapi_document(),
        "docs/openapi.json is out of date; run `pistachioyard openapi > docs/openapi.json`"
    );
}
