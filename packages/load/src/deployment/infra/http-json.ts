/** A control call to a stand-in is local and answered at once; longer means that it hangs. */
const callTimeoutMs = 5000;

export type JsonResponse = {status: number; body: unknown};

/** Sends a JSON request and gives the status with the parsed body. */
export const callJson = async (method: 'GET' | 'PUT', url: string, body?: unknown, headers: Record<string, string> = {}): Promise<JsonResponse> => {
	const response = await fetch(url, {
		method,
		headers: body === undefined ? headers : {'content-type': 'application/json', ...headers},
		body: body === undefined ? undefined : JSON.stringify(body),
		signal: AbortSignal.timeout(callTimeoutMs),
	});
	const text = await response.text();
	return {status: response.status, body: text === '' ? undefined : JSON.parse(text) as unknown};
};

/** As `callJson`, but an answer other than 2xx is an error. */
export const requestJson = async (...parameters: Parameters<typeof callJson>): Promise<unknown> => {
	const {status, body} = await callJson(...parameters);
	if (status < 200 || status > 299) {
		throw new Error(`${parameters[0]} ${parameters[1]} was answered with ${status}: ${JSON.stringify(body)}`);
	}

	return body;
};
