//! Errors for invalid settings objects.
use basaltward_platform_settings::parse;

const VALID: &str = r#"{"dcs":["a","b"],"familyInfo":{"machineMb":[4000.0],"staysLoadedUs":9000000},
"limits":{"sendCap":3,"streamsPerConn":32,"idleCloseUs":30000000},"models":["m"],"replicasOfMe":2,
"requestClasses":[{"name":"call","deadlineUs":2000000,"onTimeUs":500000,"repeat":"safe"},
{"name":"order","deadlineUs":2500000,"onTimeUs":600000,"repeat":"unsafe"}],"roundUs":1000,
"rules":{"answerSlackUs":8000,"coldFrom":0.2,"fallUs":1500000,"tipMultiple":4.0,"warmWithinUs":16000000}}"#;

#[test]
fn an_invalid_settings_object_is_reported_by_field_in_one_line() {
    assert_eq!(parse(VALID).expect("valid settings").classes, ["call", "order"]);
    let invalid = [
        ("\"sendCap\":3", "\"sendCap\":\"many\"", "limits.sendCap"),
        ("\"sendCap\":3", "\"sendCap\":-3", "limits.sendCap"),
        ("\"sendCap\":3,", "", "limits: missing field `sendCap`"),
        ("\"deadlineUs\":2500000", "\"deadlineUs\":null", "requestClasses[1].deadlineUs"),
        ("\"repeat\":\"unsafe\"", "\"repeat\":7", "requestClasses[1].repeat"),
        ("\"repeat\":\"unsafe\"", "\"repeat\":\"never\"", "repeat \"never\""),
        ("\"coldFrom\":0.2", "\"coldFrom\":[]", "rules.coldFrom"),
        ("\"machineMb\":[4000.0]", "\"machineMb\":[4000.0,\"x\"]", "familyInfo.machineMb[1]"),
        ("\"dcs\":[\"a\",\"b\"]", "\"dcs\":\"a\"", "dcs"),
        ("\"roundUs\":1000,", "", "roundUs"),
        ("\"onTimeUs\":600000", "\"onTimeUs\":0", "class 1"),
    ];
    for (from, to, field) in invalid {
        assert!(VALID.contains(from), "{from}");
        let error = parse(&VALID.replace(from, to)).expect_err(field).to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{field}: {error}");
    }
    for length in 0..VALID.len() {
        assert!(parse(&VALID[..length]).is_err(), "truncated to {length} bytes");
    }
}
