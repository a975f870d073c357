package rockoperator

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockresponse"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
	"sassafrasrock/schema/gen/sassafrasrock/v1/sassafrasrockv1connect"
)

// Client calls the operators' server at one address. Its errors are of type *connect.Error.
type Client struct {
	Address            string
	GetConfiguration   func(ctx context.Context) (*v1.GetConfigurationResponse, error)
	PutConfiguration   func(ctx context.Context, r *v1.PutConfigurationRequest) (*v1.PutConfigurationResponse, error)
	GetStatus          func(ctx context.Context) (*v1.GetStatusResponse, error)
	DrainBackendServer func(ctx context.Context, r *v1.DrainBackendServerRequest) (*v1.DrainBackendServerResponse, error)
	ResetQuarantine    func(ctx context.Context, r *v1.ResetQuarantineRequest) (*v1.ResetQuarantineResponse, error)
	GetOutcomes        func(ctx context.Context) (*v1.GetOutcomesResponse, error)
}

// ClientSettings are the credentials, TLS configuration and timeout of a client.
type ClientSettings struct {
	Token   string        // empty for none
	TLS     *tls.Config   // nil for plain HTTP
	Timeout time.Duration // of one call; 0 for none
}

// ErrPlainToken is returned if a token would be sent without TLS to an address that is not on loopback.
var ErrPlainToken = eris.New("a token is sent to another machine only with TLS")

// Check returns ErrPlainToken if a client with these settings would send its token to the address unencrypted.
func (s ClientSettings) Check(address string) error {
	host, isPlain := strings.CutPrefix(baseURL(address, s.TLS != nil), "http://")
	if s.Token != "" && isPlain && !isLoopback(host) {
		return eris.Wrap(ErrPlainToken, address)
	}
	return nil
}

// NewClient returns a client for an address, which is either a host and port or a URL.
func NewClient(address string, settings ClientSettings) *Client {
	transport := &http.Transport{TLSClientConfig: settings.TLS, ForceAttemptHTTP2: true}
	// connect limits messages, but not the bodies of failures.
	httpClient := &http.Client{Transport: rockresponse.New(transport, rockresponse.WithMaxBodyBytes(maxMessageBytes)), Timeout: settings.Timeout}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if settings.Token != "" {
				r.Header().Set("Authorization", "Bearer "+settings.Token)
			}
			return next(ctx, r)
		}
	})
	rpc := sassafrasrockv1connect.NewOperatorsClient(httpClient, baseURL(address, settings.TLS != nil), connect.WithInterceptors(authorize), connect.WithReadMaxBytes(maxMessageBytes))
	return &Client{
		Address:            address,
		GetConfiguration:   withoutRequest(rpc.GetConfiguration),
		PutConfiguration:   withRequest(rpc.PutConfiguration),
		GetStatus:          withoutRequest(rpc.GetStatus),
		DrainBackendServer: withRequest(rpc.DrainBackendServer),
		ResetQuarantine:    withRequest(rpc.ResetQuarantine),
		GetOutcomes:        withoutRequest(rpc.GetOutcomes),
	}
}

func baseURL(address string, secure bool) string {
	switch {
	case strings.Contains(address, "://"):
		return strings.TrimSuffix(address, "/")
	case secure:
		return "https://" + address
	}
	return "http://" + address
}

func withRequest[Req, Resp any](call func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) func(context.Context, *Req) (*Resp, error) {
	return func(ctx context.Context, r *Req) (*Resp, error) {
		response, err := call(ctx, connect.NewRequest(r))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
}

func withoutRequest[Req, Resp any](call func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) func(context.Context) (*Resp, error) {
	return func(ctx context.Context) (*Resp, error) {
		return withRequest(call)(ctx, new(Req))
	}
}
