package rockdaemon

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"sassafrasrock/io/rockoperator"
	"sassafrasrock/io/rockplatform"
	"sassafrasrock/io/rockservice"
	"sassafrasrock/io/rockstandin"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

// startEarlyServer starts a server that answers each request as soon as it has its head.
func startEarlyServer(t *testing.T, answer rockstandin.EarlyAnswer) string {
	t.Helper()
	server, err := rockstandin.ServeEarly(func(*http.Request) rockstandin.EarlyAnswer { return answer })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server.Addr().String()
}

// Guards against a part of an answer that a client of the product's own interface takes as the whole, because its server
// answered before it had the request and then reset the connection; and against a whole early answer that is lost or held up.
func TestClientsRejectPartsOfEarlyAnswers(t *testing.T) {
	long := strings.Repeat("x", rockstandin.EarlyUploadBytes-1<<10) // with the rest of a message, less than the limit of all clients
	clients := map[string]struct {
		fields, body string // of a whole answer
		err          error  // for a part of it; nil for any
		send         func(ctx context.Context, address string) error
	}{
		"call": {"", "an answer", rockservice.ErrLost, func(ctx context.Context, address string) error {
			_, err := rockservice.New().Do(ctx, address, rockservice.Call{Method: http.MethodPost, Path: "/x", Body: []byte(long)})
			return err
		}},
		"write of a row": {"", `{"version":7}`, rockplatform.ErrOutcomeUnknown, func(ctx context.Context, address string) error {
			_, err := rockplatform.New("http://"+address).Put(ctx, "t", "k", rockplatform.PutRequest{Value: []byte(`"` + long + `"`)})
			return err
		}},
		"write of an object": {"", "", rockplatform.ErrOutcomeUnknown, func(ctx context.Context, address string) error {
			return rockplatform.New("http://"+address).PutObject(ctx, "o", []byte(long))
		}},
		"change of the configuration": {"Content-Type: application/proto\r\n", "", nil, func(ctx context.Context, address string) error {
			_, err := rockoperator.NewClient(address, rockoperator.ClientSettings{}).PutConfiguration(ctx, &v1.PutConfigurationRequest{ChangeId: long})
			return err
		}},
	}
	for kind, c := range clients {
		for name, answer := range rockstandin.EarlyAnswers(c.fields, c.body) {
			t.Run(kind+", "+name, func(t *testing.T) {
				address := startEarlyServer(t, answer)
				ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
				defer cancel()
				for range answer.Attempts {
					err := c.send(ctx, address)
					isRejected := err != nil && (c.err == nil || errors.Is(err, c.err))
					switch {
					case answer.Whole && err != nil:
						t.Errorf("got error %v, want the whole answer", err)
					case !answer.Whole && !isRejected:
						t.Errorf("got error %v, want one, of the kind %v", err, c.err)
					}
				}
			})
		}
	}
}
