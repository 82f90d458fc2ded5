//! Demo steps for tool calls.

use serde_json::json;

use crate::caller::CallRequest;

use super::{Demo, DemoError, PROGRAM, during, ensure};

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
        ensure(first == again, || {
            format!("one call got two different responses: {first:?}, {again:?}")
        })?;
        let run_count = self.runs_of(ALARM)?;
        ensure(run_count == 1, || format!("a non-repeatable call ran {run_count} times"))?;
        Ok(format!(
            "4. a sensor read at {}; one alarm sent through two gateways ran once and got the same response twice",
            reading.body["engine"].as_str().unwrap_or("an unnamed engine")
        ))
    }

    pub(super) async fn return_results(&mut self) -> Result<String, DemoError> {
        let turn = self.next_turn("t4", "Look first. [tool read_sensor] [tokens 6]", 64);
        let transcript = self.run_turn(0, &turn).await?;
        let tool_request = transcript.events.iter().find(|event| event.event == "tool_requested");
        let tool = tool_request.and_then(|event| event.data["tool"].as_str()).unwrap_or_default();
        ensure(tool == "read_sensor", || "the model's tool request did not arrive".to_owned())?;
        let request = CallRequest::new(tool, json!({"house": 4}));
        let response = self.caller.call(3, PROGRAM, "reading-2", &request).await;
        let response = response.map_err(during("calling the requested tool"))?;
        let send_result =
            || self.caller.send_tool_result(1, &self.session, "reading-2", &response.body);
        let position = send_result().await.map_err(during("sending a tool result"))?;
        send_result().await.map_err(during("sending the same tool result again"))?;
        let joined = self.caller.join(2, &self.session, Some(position.seq - 1)).await;
        let mut joined = joined.map_err(during("joining to read the tool result"))?;
        let event = joined.next().await.map_err(during("reading the tool result"))?;
        let in_stream = event.is_some_and(|e| e.event == "tool_result" && e.id == position.seq);
        ensure(in_stream, || "the tool result is missing in the stream".to_owned())?;
        Ok(format!(
            "5. the model asked for {tool}; its result is event {} of the session",
            position.seq
        ))
    }
}
