package conf

// answerHeadBytesMin is what the head of an ordinary answer needs.
const answerHeadBytesMin = 1024

// callersHoldBytesMin has room for a body of 4 MiB beside small ones.
const callersHoldBytesMin = 8 << 20

// BytesPerMegabyte is the unit of memory_mb.
const BytesPerMegabyte = 1 << 20

// check returns an error for the first invalid value in the settings file of an entry node that
// sends requests directly to the backend servers, or nil.
func (de DirectEntrySettings) check() *ValidationError {
	if ve := de.Place.check(); ve != nil {
		return ve
	}
	ve := checkAddresses([]namedAddress{
		{"caller_address", de.CallerAddress}, {"ready_address", de.ReadyAddress}, {"peer_address", de.PeerAddress},
		{"log_address", de.LogAddress},
	})
	switch {
	case ve != nil:
		return ve
	case de.AgentPort < 1 || de.AgentPort > 65535:
		return invalid("agent_port", "give the port that agents listen on", "%d is no port", de.AgentPort)
	case de.StopMs < 1:
		return invalid("stop_ms", "give the time until the kill", "%d is too short", de.StopMs)
	case de.RetryWindowMs < 1:
		return invalid("retry_window_ms", "give the time over which retries are counted", "%d is too short", de.RetryWindowMs)
	case de.Regions[de.Place.Zone] == "":
		return invalid("regions", "give the region of each availability zone", "zone %q has no region", de.Place.Zone)
	}
	return de.checkBounds()
}

// checkBounds returns an error for the first invalid bound of what the node holds, or nil.
func (de DirectEntrySettings) checkBounds() *ValidationError {
	switch {
	case de.AnswerHeadBytes != 0 && de.AnswerHeadBytes < answerHeadBytesMin:
		return invalid("answer_head_bytes", "give at least 1024, or 0", "%d is too few", de.AnswerHeadBytes)
	case de.AnswerHoldBytes < 0:
		return invalid("answer_hold_bytes", "give a number of bytes, or 0", "%d is too few", de.AnswerHoldBytes)
	case de.AnswersHoldBytes < 0:
		return invalid("answers_hold_bytes", "give a number of bytes, or 0", "%d is too few", de.AnswersHoldBytes)
	case de.CallersHoldBytes != 0 && de.CallersHoldBytes < callersHoldBytesMin:
		return invalid("callers_hold_bytes", "give at least 8388608, or 0", "%d is too few", de.CallersHoldBytes)
	case de.MemoryMb > 0 && de.CallersHoldBytes > de.MemoryMb*BytesPerMegabyte/2:
		return invalid("callers_hold_bytes", "give at most half of memory_mb, or 0", "%d leaves too little for the process", de.CallersHoldBytes)
	}
	return nil
}

// check returns an error for the first invalid value in the settings file of an agent that grants
// requests, which entry nodes then send to the engine directly, or nil.
func (da DirectAgentSettings) check() *ValidationError {
	if ve := da.Place.check(); ve != nil {
		return ve
	}
	return checkAddresses([]namedAddress{{"listen_address", da.ListenAddress}, {"backend_address", da.BackendAddress}})
}
