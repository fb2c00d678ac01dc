//! Tests that a host list with records of other writers is read.

use pistachioyard_wire::decode_host_list;

const HOST: &str = r#"{"host":"h","endpoint":"e","address":"127.0.0.1:1","region":"r","data_centre":"d","kind":{"engine":{"accelerator":"a"}},"checks_fence":true,"state":"live"}"#;

#[test]
fn a_host_record_that_cannot_be_decoded_hides_no_other() {
    let deep = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let large = r#"{"host":"h","checks_fence":1e999}"#.to_owned();
    let port = HOST.replace("127.0.0.1:1", "127.0.0.1:70000");
    for odd in [deep, large, port] {
        let body = format!("[{odd},{HOST},{odd}]");
        let (records, undecoded) = decode_host_list(body.as_bytes()).expect("the list is readable");
        assert_eq!((records.len(), undecoded.len()), (1, 2));
    }
    assert!(decode_host_list(b"{").is_err());
}
