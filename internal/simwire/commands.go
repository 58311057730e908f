package simwire

import (
	"encoding/json"
	"strconv"

	"snowquay/balancer"
)

// replyWriter encodes the commands that result from one batch as the actions of its reply. It is the
// balancer.CommandSink of the instance whose round runs.
type replyWriter struct {
	text      []byte
	instance  int  // number of the coordinator whose commands are being written
	hasAction bool // the reply has at least one action
}

// start discards the previous reply and begins the reply to a batch.
func (w *replyWriter) start() {
	w.text = append(w.text[:0], `{"actions":[`...)
	w.hasAction = false
}

// finish completes the reply and returns it as a line, which is valid until the next start.
func (w *replyWriter) finish() []byte {
	w.text = append(w.text, "]}\n"...)
	return w.text
}

// begin starts an action with its type and the coordinator's number.
func (w *replyWriter) begin(action string) {
	if w.hasAction {
		w.text = append(w.text, ',')
	}
	w.hasAction = true
	w.text = append(w.text, `{"type":"`...)
	w.text = append(w.text, action...)
	w.text = append(w.text, '"')
	w.writeInt("coordinator-id", w.instance)
}

func (w *replyWriter) end() { w.text = append(w.text, '}') }

func (w *replyWriter) writeKey(key string) {
	w.text = append(w.text, `,"`...)
	w.text = append(w.text, key...)
	w.text = append(w.text, `":`...)
}

func (w *replyWriter) writeInt(key string, value int) {
	w.writeKey(key)
	w.text = strconv.AppendInt(w.text, int64(value), 10)
}

func (w *replyWriter) writeFloat(key string, value float64) {
	w.writeKey(key)
	w.text = strconv.AppendFloat(w.text, value, 'f', -1, 64)
}

func (w *replyWriter) writeBool(key string, value bool) {
	w.writeKey(key)
	w.text = strconv.AppendBool(w.text, value)
}

func (w *replyWriter) writeString(key, value string) {
	w.writeKey(key)
	quoted, _ := json.Marshal(value) // a string can always be encoded
	w.text = append(w.text, quoted...)
}

// SetWeight implements balancer.CommandSink.
func (w *replyWriter) SetWeight(table balancer.Table, server balancer.Server, weight float64) {
	w.begin("Weigh")
	w.writeFloat("size", weight)
	w.writeString("backend", string(server))
	w.writeInt("sheet", int(table))
	w.end()
}

// AssignTable implements balancer.CommandSink.
func (w *replyWriter) AssignTable(proxy balancer.Proxy, table balancer.Table, classes balancer.ClassSet) {
	w.begin("HandTable")
	w.writeInt("px", int(proxy))
	w.writeInt("sheet", int(table))
	w.writeInt("for-classes", int(classes))
	w.end()
}

// SetAdmission implements balancer.CommandSink.
func (w *replyWriter) SetAdmission(table balancer.Table, classes balancer.ClassSet, rate float64,
	retry balancer.RetryPolicy) {
	w.begin("Ration")
	w.writeInt("sheet", int(table))
	w.writeInt("for-classes", int(classes))
	w.writeFloat("quota", rate)
	w.writeInt("on-failure", int(retry))
	w.end()
}

// RequestAck implements balancer.CommandSink.
func (w *replyWriter) RequestAck(id balancer.AckID) {
	w.begin("Seal")
	w.writeInt("number", int(id))
	w.writeBool("flag", false)
	w.end()
}

// HealthCheck implements balancer.CommandSink.
func (w *replyWriter) HealthCheck(server balancer.Server) {
	w.begin("SoundOut")
	w.writeString("backend", string(server))
	w.end()
}

// PollDiscovery implements balancer.CommandSink.
func (w *replyWriter) PollDiscovery() {
	w.begin("Listen")
	w.writeBool("flag", true)
	w.end()
}

// SetTimer implements balancer.CommandSink.
func (w *replyWriter) SetTimer(seconds float64, timer balancer.Timer) {
	w.begin("Defer")
	w.writeInt("nonce", int(timer))
	w.writeFloat("sleep-for", seconds)
	w.end()
}

// Log implements balancer.CommandSink.
func (w *replyWriter) Log(text string) {
	w.begin("Emit")
	w.writeString("note-text", text)
	w.end()
}
