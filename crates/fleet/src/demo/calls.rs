//! Demo steps for tool calls.

use serde_json::json;

use crate::caller::CallRequest;

use super::{Demo, DemoError, PROGRAM, during, promise};

/// Id of the non-repeatable call.
pub(super) const ALARM: &str = "alarm-1";

impl Demo {
    pub(super) async fn call_tools(&mut self) -> Result<String, DemoError> {
        let read = CallRequest::new("read_sensor", json!({"house": 4}));
        let reading = self.caller.call(0, PROGRAM, "reading-1", &read).await;
        let reading = reading.map_err(during("making a repeatable call"))?;
        let alarm = CallRequest::new("send_alarm", json!({"house": 4, "text": "frost"}));
        let first = self.caller.call(1, PROGRAM, ALARM, &alarm).await;
        let first = first.map_err(during("making a non-repeatable call"))?;
        let again = self.caller.call(2, PROGRAM, ALARM, &alarm).await;
        let again = again.map_err(during("making the same call again at another gateway"))?;
        promise(first == again, || {
            format!("one call got two different responses: {first:?}, {again:?}")
        })?;
        let ran = self.runs_of(ALARM)?;
        promise(ran == 1, || format!("a non-repeatable call ran {ran} times"))?;
        Ok(format!(
            "4. a sensor read at {}; one alarm sent through two gateways ran once and got the same response twice",
            reading.body["engine"].as_str().unwrap_or("an unnamed engine")
        ))
    }

    pub(super) async fn return_results(&mut self) -> Result<String, DemoError> {
        let turn = self.next_turn("t4", "Look first. [tool read_sensor] [tokens 6]", 64);
        let transcript = self.run_turn(0, &turn).await?;
        let asked = transcript.events.iter().find(|event| event.event == "tool_requested");
        let tool = asked.and_then(|event| event.data["tool"].as_str()).unwrap_or_default();
        promise(tool == "read_sensor", || "the model's tool request did not arrive".to_owned())?;
        let request = CallRequest::new(tool, json!({"house": 4}));
        let answer = self.caller.call(3, PROGRAM, "reading-2", &request).await;
        let answer = answer.map_err(during("calling the requested tool"))?;
        let tell = || self.caller.tell_tool_result(1, &self.session, "reading-2", &answer.body);
        let placed = tell().await.map_err(during("sending a tool result"))?;
        tell().await.map_err(during("sending the same tool result again"))?;
        let joined = self.caller.join(2, &self.session, Some(placed.seq - 1)).await;
        let mut joined = joined.map_err(during("joining to read the tool result"))?;
        let event = joined.next().await.map_err(during("reading the tool result"))?;
        let found = event.is_some_and(|e| e.event == "tool_result" && e.id == placed.seq);
        promise(found, || "the tool result is missing in the stream".to_owned())?;
        Ok(format!(
            "5. the model asked for {tool}; its result is event {} of the session",
            placed.seq
        ))
    }
}
